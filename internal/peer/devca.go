package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// devCertLifetime is the validity of certificates made for development and tests.
const devCertLifetime = 24 * time.Hour

// DevAuthority is a throw-away certificate authority for development and tests.
type DevAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewDevAuthority creates an authority with a new key.
func NewDevAuthority() (*DevAuthority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "teaselseam development authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(devCertLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &DevAuthority{cert: cert, key: key}, err
}

// Issue makes a node certificate.
func (a *DevAuthority) Issue(name string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return tls.Certificate{}, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{ServerName},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(devCertLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, err
}

// Credentials issues a certificate and returns the TLS settings of a node.
func (a *DevAuthority) Credentials(name string) (Credentials, error) {
	cert, err := a.Issue(name)
	if err != nil {
		return Credentials{}, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return NewCredentials(pool, cert), nil
}

// WriteFiles issues a certificate and writes ca.pem, NAME.pem and NAME.key to a
// directory.
func (a *DevAuthority) WriteFiles(dir, name string) error {
	cert, err := a.Issue(name)
	if err != nil {
		return err
	}
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return err
	}
	files := map[string]*pem.Block{
		"ca.pem":      {Type: "CERTIFICATE", Bytes: a.cert.Raw},
		name + ".pem": {Type: "CERTIFICATE", Bytes: cert.Certificate[0]},
		name + ".key": {Type: "PRIVATE KEY", Bytes: key},
	}
	for file, block := range files {
		if err := replaceFile(filepath.Join(dir, file), pem.EncodeToMemory(block)); err != nil {
			return err
		}
	}
	return nil
}

// replaceFile never leaves a half-written file, because a node may be reading the
// authority's certificate while the next node's files are written.
func replaceFile(name string, data []byte) error {
	temporary := name + ".new"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, name)
}
