package guard

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// sendTrace notes whether a request may have reached the other side. net/http
// writes the header through a buffer, so a request counts as sent from the
// moment a connection was handed out for it.
type sendTrace struct {
	gotConn atomic.Bool
}

func (t *sendTrace) with(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.gotConn.Store(true) },
	})
}

func (t *sendTrace) written() bool { return t.gotConn.Load() }
