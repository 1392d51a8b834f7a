package peer

import (
	"context"
	"net/http"
)

type identityKey struct{}

// Identify puts the common name of the client's certificate into the context of
// each request, where NodeName finds it.
func Identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
			r = r.WithContext(WithNodeName(r.Context(), r.TLS.PeerCertificates[0].Subject.CommonName))
		}
		next.ServeHTTP(w, r)
	})
}

// WithNodeName returns a context of a request from the named node.
func WithNodeName(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, identityKey{}, name)
}

// NodeName returns the name of the node that sent the request, as its certificate
// states it.
func NodeName(ctx context.Context) (name string, ok bool) {
	name, ok = ctx.Value(identityKey{}).(string)
	return name, ok
}

type serverKey struct{}

// ObserveServer returns a context for one call through a Client. After the call,
// name holds the common name of the server's certificate.
func ObserveServer(ctx context.Context) (_ context.Context, name *string) {
	name = new(string)
	return context.WithValue(ctx, serverKey{}, name), name
}

func noteServer(resp *http.Response) {
	name, ok := resp.Request.Context().Value(serverKey{}).(*string)
	if ok && resp.TLS != nil && len(resp.TLS.PeerCertificates) > 0 {
		*name = resp.TLS.PeerCertificates[0].Subject.CommonName
	}
}
