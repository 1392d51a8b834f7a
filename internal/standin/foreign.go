package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

// Foreign is an announcement that another program than a backend server sends.
type Foreign struct {
	ID, Service, Address string
	State                string // "ready", "draining" or "gone"
	Slots                int
	Born                 time.Time
}

// Send sends the announcement to a node's address for announcements and returns the status.
func (f Foreign) Send(announceAddress string) (status int, err error) {
	body, err := json.Marshal(map[string]any{
		"service": f.Service, "address": f.Address, "zone": "z", "version": "v1", "slots": f.Slots,
		"state": f.State, "coldLeftMs": 0, "seq": 1, "born": f.Born.UnixMilli(),
	})
	if err != nil {
		return 0, err
	}
	method := http.MethodPut
	if f.State == "gone" {
		method = http.MethodDelete
	}
	req, err := http.NewRequest(method, "http://"+announceAddress+"/v1/instances/"+f.ID, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}
