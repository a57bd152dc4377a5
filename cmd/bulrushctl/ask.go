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

// requestTimeout bounds one request to an instance's operator address.
const requestTimeout = 5 * time.Second

// operatorClient calls instances.
var operatorClient = &http.Client{Transport: httpx.StrictTransport{Next: http.DefaultTransport}}

// getJSON sends a GET request to an instance's operator address and decodes the
// JSON response into result. A response with another status than 200 is returned
// as an error, a *httpx.Problem if the instance sent one.
func getJSON(ctx context.Context, address, path string, query url.Values, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return oops.Code("malformed_address").With("address", address).Wrap(err)
	}
	response, err := operatorClient.Do(request)
	if err != nil {
		return oops.Code("instance_unreachable").With("address", address).Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		var problem httpx.Problem
		if err := json.NewDecoder(response.Body).Decode(&problem); err != nil {
			return fmt.Errorf("%s responded with status %s", address, response.Status)
		}
		return &problem
	}
	return json.NewDecoder(response.Body).Decode(result)
}
