package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestCount atomic.Uint64

// send sends requests for random adapters to one instance, one after the other, until ctx
// ends. The id of a request begins with the instance's name.
func (d *deployment) send(ctx context.Context, i *instance, adapters int, pause time.Duration) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 4 * time.Second}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.Int64N(int64(2 * pause))))
		id := fmt.Sprintf("%s-%d", i.name, requestCount.Add(1))
		adapter := fmt.Sprintf("a%d", 1+rand.IntN(adapters))
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.caller()+"/s/x", strings.NewReader("text"))
		request.Host = hostName
		request.Header.Set("X-Request-Id", id)
		request.Header.Set("X-Model", modelName+"/"+adapter)
		request.Header.Set("X-Token-Usage", "200,24")
		request.Header.Set("X-Prompt-Prefix", "5c1e07a2:100,"+fmt.Sprintf("%08x:100", rand.Uint32()))
		request.Header.Set("X-Deadline-Ms", "4000")
		d.record.line("sent id=%s to=%s adapter=%s", id, i.name, adapter)
		response, err := client.Do(request)
		if err != nil {
			d.record.line("answer id=%s error", id)
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		d.record.line("answer id=%s status=%d signed=%t bytes=%d whole=%t", id, response.StatusCode, response.Header.Get("X-Server-Signature") != "", len(body), err == nil)
	}
}
