package operator

import (
	"net/http"
	"net/http/httptest"
)

// loseWrites performs writes and closes the connection without an answer.
type loseWrites struct{ http.Handler }

func (l loseWrites) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		l.Handler.ServeHTTP(w, r)
		return
	}
	l.Handler.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}
