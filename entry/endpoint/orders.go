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

// loadOrder is the published body of the adapter calls.
type loadOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// FencedError is an order that an engine refused because it has taken one with
// a higher fencing number.
type FencedError struct {
	// Fence is the engine's number, or 0 where it did not tell.
	Fence uint64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("the engine has taken fencing number %d", e.Fence)
}

// Load orders an engine to load an adapter. Its error may be a *FencedError.
func (c *Client) Load(address string, adapter table.AdapterVersion, fence uint64, timeout time.Duration) error {
	order := loadOrder{Name: adapter.String(), Path: adapter.String()}
	return c.order(address, "/v1/load_lora_adapter", order, fence, timeout)
}

// Unload orders an engine to drop an adapter. Its error may be a *FencedError.
func (c *Client) Unload(address string, adapter table.AdapterVersion, fence uint64, timeout time.Duration) error {
	return c.order(address, "/v1/unload_lora_adapter", loadOrder{Name: adapter.String()}, fence, timeout)
}

// Claim makes an engine refuse orders below fence. Its error may be a
// *FencedError.
func (c *Client) Claim(address string, fence uint64, timeout time.Duration) error {
	return c.order(address, "/v1/fence", loadOrder{}, fence, timeout)
}

func (c *Client) order(address, path string, order loadOrder, fence uint64, timeout time.Duration) error {
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
	response, err := c.http.Do(ctx, address, request, httpx.Options{})
	if err != nil {
		return oops.Code("order_failed").With("address", address).Wrap(err)
	}
	defer func() { _ = response.Close() }()
	switch response.Status {
	case fasthttp.StatusOK:
		_, err = io.Copy(io.Discard, response)
		return oops.Wrap(err)
	case fasthttp.StatusConflict:
		taken, _ := strconv.ParseUint(string(response.Header.Peek(httpx.Fence)), 10, 64)
		return oops.Code("order_fenced").With("address", address).Wrap(&FencedError{Fence: taken})
	}
	return oops.Code("order_refused").With("address", address, "status", response.Status).Errorf("%s answered %d", path, response.Status)
}

// modelList is the published body of the list of models.
type modelList struct {
	Data []struct {
		ID string `json:"id"`
	} `json:"data"`
}

// modelsLimit bounds the list of models, in bytes.
const modelsLimit = 1 << 20

// Resident lists the adapters that an engine holds. Names that are not
// adapter@version, as the base model's, are skipped.
func (c *Client) Resident(address string, timeout time.Duration) ([]table.AdapterVersion, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + "/v1/models")
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	response, err := c.http.Do(ctx, address, request, httpx.Options{})
	if err != nil {
		return nil, oops.Code("models_failed").With("address", address).Wrap(err)
	}
	defer func() { _ = response.Close() }()
	if response.Status != fasthttp.StatusOK {
		return nil, oops.Code("models_refused").With("address", address, "status", response.Status).Errorf("models answered %d", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response, modelsLimit))
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
