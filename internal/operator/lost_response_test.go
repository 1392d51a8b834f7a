package operator

import (
	"net/http"
	"net/http/httptest"
)

// dropWriteResponses is a store that performs each write but closes the connection without
// a response.
type dropWriteResponses struct{ http.Handler }

func (d dropWriteResponses) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		d.Handler.ServeHTTP(w, r)
		return
	}
	d.Handler.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}
