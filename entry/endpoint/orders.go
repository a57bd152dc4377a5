package endpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// adapterOrder is the body of an order, as the engine's API has it. Unloading needs
// only the name, a claim needs neither field.
type adapterOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// FencedError is the error of an order that an engine refused because it has accepted
// a higher fencing token.
type FencedError struct {
	// Fence is the token that the engine has accepted, or 0 where it did not say.
	Fence uint64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("the engine has accepted fencing token %d", e.Fence)
}

// Load orders an engine to load an adapter. Its error may wrap a *FencedError.
func (c *Client) Load(address string, adapter table.AdapterVersion, fence uint64, timeout time.Duration) error {
	order := adapterOrder{Name: adapter.String(), Path: adapter.String()}
	return c.sendOrder(address, "/v1/load_lora_adapter", order, fence, timeout)
}

// Unload orders an engine to unload an adapter. Its error may wrap a *FencedError.
func (c *Client) Unload(address string, adapter table.AdapterVersion, fence uint64, timeout time.Duration) error {
	return c.sendOrder(address, "/v1/unload_lora_adapter", adapterOrder{Name: adapter.String()}, fence, timeout)
}

// Claim makes an engine refuse orders with a fencing token below fence. Its error may
// wrap a *FencedError.
func (c *Client) Claim(address string, fence uint64, timeout time.Duration) error {
	return c.sendOrder(address, "/v1/fence", adapterOrder{}, fence, timeout)
}

// sendOrder sends one order and waits for the response, at most for timeout.
func (c *Client) sendOrder(address, path string, order adapterOrder, fence uint64, timeout time.Duration) error {
	body, err := json.Marshal(order)
	if err != nil {
		return oops.Wrap(err)
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(httpx.Fence, strconv.FormatUint(fence, 10))
	request.SetBodyRaw(body)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	response, err := c.http.Do(ctx, address, request, httpx.Options{FreshConnection: true})
	if err != nil {
		return oops.Code("order_failed").With("address", address).Wrap(err)
	}
	defer func() { _ = response.Close() }()
	switch response.Status {
	case fasthttp.StatusOK:
		_, err = io.Copy(io.Discard, response)
		return oops.Wrap(err)
	case fasthttp.StatusConflict:
		accepted, _ := strconv.ParseUint(string(response.Header.Peek(httpx.Fence)), 10, 64)
		return oops.Code("order_fenced").With("address", address).Wrap(&FencedError{Fence: accepted})
	}
	return oops.Code("order_refused").With("address", address, "status", response.Status).Errorf("%s responded with status %d", path, response.Status)
}

// modelList is the response of /v1/models.
type modelList struct {
	Data []struct {
		ID string `json:"id"`
	} `json:"data"`
}

// maxModelsBytes bounds the response of /v1/models, in bytes.
const maxModelsBytes = 1 << 20

// Resident returns the adapters that an engine has loaded. It skips names that are not
// of the form adapter@version, such as that of the base model.
func (c *Client) Resident(address string, timeout time.Duration) ([]table.AdapterVersion, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + "/v1/models")
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	response, err := c.http.Do(ctx, address, request, httpx.Options{FreshConnection: true})
	if err != nil {
		return nil, oops.Code("models_failed").With("address", address).Wrap(err)
	}
	defer func() { _ = response.Close() }()
	if response.Status != fasthttp.StatusOK {
		return nil, oops.Code("models_refused").With("address", address, "status", response.Status).Errorf("the list of models responded with status %d", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response, maxModelsBytes))
	if err != nil {
		return nil, oops.Code("models_failed").With("address", address).Wrap(err)
	}
	var list modelList
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, oops.Code("models_malformed").With("address", address).Wrap(err)
	}
	var adapters []table.AdapterVersion
	for _, model := range list.Data {
		if adapter, err := table.ParseAdapterVersion(model.ID); err == nil {
			adapters = append(adapters, adapter)
		}
	}
	return adapters, nil
}
