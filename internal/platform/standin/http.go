package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/teaselseam/teaselseam/internal/platform"
)

// maxBody is the largest request or response body, in bytes.
const maxBody = 64 << 20

// Handler serves m over HTTP with JSON bodies:
//
//	GET  /rows/KEY                     one row
//	GET  /scan?from=&to=&limit=        rows in key order
//	POST /commit                       platform.Transaction
//	GET  /objects/NAME, PUT likewise   object bytes
//	POST /faults                       Faults
//	GET  /counts                       Counts
//
// Status 404 is ErrNotFound and 409 is ErrConflict.
func Handler(m *Memory) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows/{key...}", func(w http.ResponseWriter, r *http.Request) {
		row, err := m.Get(r.Context(), r.PathValue("key"))
		reply(w, row, err)
	})
	mux.HandleFunc("GET /scan", func(w http.ResponseWriter, r *http.Request) {
		limit, err := strconv.Atoi(r.FormValue("limit"))
		if err != nil {
			http.Error(w, "limit is not a number", http.StatusBadRequest)
			return
		}
		rows, err := m.Scan(r.Context(), r.FormValue("from"), r.FormValue("to"), limit)
		reply(w, rows, err)
	})
	mux.HandleFunc("POST /commit", func(w http.ResponseWriter, r *http.Request) {
		var tx platform.Transaction
		if decode(w, r, &tx) {
			reply(w, struct{}{}, m.Commit(r.Context(), tx))
		}
	})
	mux.HandleFunc("GET /objects/{name...}", func(w http.ResponseWriter, r *http.Request) {
		data, err := m.GetObject(r.Context(), r.PathValue("name"))
		reply(w, data, err)
	})
	mux.HandleFunc("PUT /objects/{name...}", func(w http.ResponseWriter, r *http.Request) {
		var data []byte
		if decode(w, r, &data) {
			reply(w, struct{}{}, m.PutObject(r.Context(), r.PathValue("name"), data))
		}
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if decode(w, r, &f) {
			m.SetFaults(f)
			reply(w, f, nil)
		}
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, m.Counts(), nil)
	})
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func reply(w http.ResponseWriter, value any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value) // the client sees a short body
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// Client implements platform.Store over HTTP against Handler.
type Client struct {
	base string
	http *http.Client
}

var _ platform.Store = (*Client)(nil)

// NewClient returns a client of the platform at base, for example
// "http://127.0.0.1:9000". Deadlines come from each call's context.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, key string) (platform.Row, error) {
	var row platform.Row
	err := c.call(ctx, http.MethodGet, "/rows/"+url.PathEscape(key), nil, &row)
	return row, err
}

// Scan implements platform.Table.
func (c *Client) Scan(ctx context.Context, from, to string, limit int) ([]platform.Row, error) {
	query := url.Values{"from": {from}, "to": {to}, "limit": {strconv.Itoa(limit)}}
	var rows []platform.Row
	err := c.call(ctx, http.MethodGet, "/scan?"+query.Encode(), nil, &rows)
	return rows, err
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, tx platform.Transaction) error {
	return c.call(ctx, http.MethodPost, "/commit", tx, nil)
}

// GetObject implements platform.Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := c.call(ctx, http.MethodGet, "/objects/"+url.PathEscape(name), nil, &data)
	return data, err
}

// PutObject implements platform.Objects.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.call(ctx, http.MethodPut, "/objects/"+url.PathEscape(name), data, nil)
}

// SetFaults changes the faults of the stand-in.
func (c *Client) SetFaults(ctx context.Context, f Faults) error {
	return c.call(ctx, http.MethodPost, "/faults", f, nil)
}

// Counts returns the calls that the stand-in has served.
func (c *Client) Counts(ctx context.Context) (Counts, error) {
	var n Counts
	err := c.call(ctx, http.MethodGet, "/counts", nil, &n)
	return n, err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return platform.ErrNotFound
	case http.StatusConflict:
		return platform.ErrConflict
	default:
		return fmt.Errorf("platform %s %s: status %d", method, path, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(out)
}
