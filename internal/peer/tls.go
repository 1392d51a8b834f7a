// Package peer is the connection between nodes: mutual TLS, the twirp services
// and the forwarding of calls.
//
// Every node presents a certificate signed by the fleet's authority, as server
// and as client, so neither a caller nor a backend server can speak as a node.
package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"github.com/samber/oops"

	"github.com/teaselseam/teaselseam/internal/config"
)

// ServerName is the DNS name in every node's certificate. Nodes reach each
// other by IP number, and a VM's address is not known when certificates are made.
const ServerName = "node.teaselseam.internal"

// Credentials are the TLS settings of a node as server and as client.
type Credentials struct {
	Server *tls.Config
	Client *tls.Config
}

// LoadCredentials reads the files named in the node's settings.
func LoadCredentials(c config.Peer) (Credentials, error) {
	ca, err := os.ReadFile(c.CAFile)
	if err != nil {
		return Credentials{}, oops.In("peer").With("step", "read certificate authority").Wrap(err)
	}
	cert, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
	if err != nil {
		return Credentials{}, oops.In("peer").With("step", "read node certificate").Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return Credentials{}, oops.In("peer").With("step", "parse certificate authority").Wrap(errors.New("no certificate found"))
	}
	return NewCredentials(pool, cert), nil
}

// NewCredentials builds TLS settings that accept only holders of a certificate
// from the pool, in both directions.
func NewCredentials(pool *x509.CertPool, cert tls.Certificate) Credentials {
	return Credentials{
		Server: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{cert},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    pool,
		},
		Client: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{cert},
			RootCAs:      pool,
			ServerName:   ServerName,
		},
	}
}
