package ingress

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"

	"github.com/teaselseam/teaselseam/internal/call"
	"github.com/teaselseam/teaselseam/internal/request"
)

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	RequestID string `json:"request_id,omitempty"`
	Reason    string `json:"reason"`
	Outcome   string `json:"outcome"`
}

func writeRefusal(w http.ResponseWriter, id request.ID, r request.Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(request.HeaderOutcome, r.Outcome.String())
	h.Set(request.HeaderReason, string(r.Reason))
	if id != "" {
		h.Set(request.HeaderID, string(id))
	}
	if s := r.RetryAfterSeconds(); s > 0 {
		h.Set("Retry-After", strconv.Itoa(s))
	}
	w.WriteHeader(r.Reason.Status())
	body := refusalBody{RequestID: string(id), Reason: string(r.Reason), Outcome: r.Outcome.String()}
	_ = json.NewEncoder(w).Encode(body) // the status and the headers say the same
}

func writeResponse(w http.ResponseWriter, id request.ID, resp *call.Response) {
	h := w.Header()
	maps.Copy(h, resp.Header)
	h.Set(request.HeaderID, string(id))
	call.WriteBody(w, resp)
}
