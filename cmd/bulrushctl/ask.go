package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// askTimeout bounds one call to an instance's operator address.
const askTimeout = 5 * time.Second

// ask reads a JSON answer from an instance's operator address.
func ask(ctx context.Context, address, path string, query url.Values, into any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	at := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, at.String(), nil)
	if err != nil {
		return oops.Code("malformed_address").With("address", address).Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return oops.Code("instance_unreachable").With("address", address).Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		var problem httpx.Problem
		if err := json.NewDecoder(response.Body).Decode(&problem); err != nil {
			return fmt.Errorf("%s answered %s", address, response.Status)
		}
		return &problem
	}
	return json.NewDecoder(response.Body).Decode(into)
}
