package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

// result is what a client saw of one attempt.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

// send makes one attempt on a connection of its own.
func send(address, method, path, body string, header map[string]string, timeout time.Duration) result {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return result{err: err}
	}
	r.Host = "ficu95.example"
	for name, value := range header {
		r.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}
