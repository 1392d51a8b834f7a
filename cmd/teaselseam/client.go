package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/google/uuid"

	"github.com/teaselseam/teaselseam/internal/adminapi"
)

// maxAnswer bounds an answer, in bytes.
const maxAnswer = 64 << 20

// client calls the administration API of one node.
type client struct {
	address string
	token   string
	http    *http.Client
}

func newClient(c *cli) *client {
	transport := &http.Transport{DisableKeepAlives: true} // no proxy: nodes are reached by IP number
	return &client{address: c.Address, token: c.Token, http: &http.Client{Timeout: c.Timeout, Transport: transport}}
}

// get reads something. The query may be nil.
func (c *client) get(ctx context.Context, path string, query url.Values, out any) error {
	_, err := c.call(ctx, http.MethodGet, path+"?"+query.Encode(), nil, out)
	return err
}

// post asks for something that changes nothing.
func (c *client) post(ctx context.Context, path string, in, out any) error {
	_, err := c.call(ctx, http.MethodPost, path, in, out)
	return err
}

// change asks for a change. If the answer is lost after the request may have
// been sent, the error is one with CodeUnknownOutcome.
func (c *client) change(ctx context.Context, path, operation string, in, out any) error {
	sent, err := c.call(ctx, http.MethodPost, path, in, out)
	var answered *adminapi.Error
	if err == nil || !sent || errors.As(err, &answered) {
		return err
	}
	return &adminapi.Error{
		Code: adminapi.CodeUnknownOutcome, Operation: operation,
		Message: fmt.Sprintf("no answer: %v; ask with: teaselseam operation %s", err, operation),
	}
}

// call makes one call; sent is false if the request certainly did not go out.
func (c *client) call(ctx context.Context, method, path string, in, out any) (sent bool, err error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return false, err
		}
		body = bytes.NewReader(data)
	}
	if _, err := netip.ParseAddrPort(c.address); err != nil {
		return false, usageError{fmt.Errorf("address %q is not an IP number and port", c.address)}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, body)
	if err != nil {
		return false, err
	}
	if c.token == "" {
		return false, &adminapi.Error{Code: adminapi.CodeUnauthenticated, Message: "no token; set TEASELSEAM_TOKEN"}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		return !errors.As(err, &op) || op.Op != "dial", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return true, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		e := &adminapi.Error{}
		if err := json.Unmarshal(data, e); err != nil || e.Code == "" {
			return true, fmt.Errorf("node answered %s without a code", resp.Status)
		}
		return true, e
	}
	return true, json.Unmarshal(data, out)
}

// operationFlag lets an operator send a change again under its first ID.
type operationFlag struct {
	Operation string `help:"Operation ID, to send a change again after an unknown outcome. Made up if absent."`
}

// id returns the operation ID, made up here so that it is known even if no
// answer arrives.
func (o *operationFlag) id() string {
	if o.Operation == "" {
		o.Operation = uuid.NewString()
	}
	return o.Operation
}
