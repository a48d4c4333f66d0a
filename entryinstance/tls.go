package entryinstance

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"
)

// PeerName is the DNS name in the certificate of every entry instance.
const PeerName = "entry-instance"

// instanceSuffix ends the DNS name that binds a certificate to one instance.
const instanceSuffix = "." + PeerName

// BoundName returns the DNS name that binds a certificate to the named instance.
func BoundName(name string) string { return name + instanceSuffix }

// TLS holds the certificates and the key of one entry instance in PEM form.
type TLS struct {
	// CertPEM is the certificate chain, leaf first.
	CertPEM []byte
	// KeyPEM is the private key of the leaf.
	KeyPEM []byte
	// CAPEM holds the authorities that sign the certificates of peers.
	CAPEM []byte
}

// load parses and checks the PEM data, and returns the certificate and the
// authorities.
func (t *TLS) load() (tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.X509KeyPair(t.CertPEM, t.KeyPEM)
	if err != nil {
		return cert, nil, errors.Wrap(err, "TLS certificate and key")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(t.CAPEM) {
		return cert, nil, errors.New("TLS authority: no certificate in the PEM data")
	}
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return cert, nil, errors.Wrap(err, "TLS certificate")
	}
	if err := leaf.VerifyHostname(PeerName); err != nil {
		return cert, nil, errors.Newf("TLS certificate: it lacks the DNS name %q", PeerName)
	}
	return cert, authorities, nil
}

// Expiry returns when the leaf certificate or the longest-lived authority ceases
// to be valid, whichever is earlier.
func (t *TLS) Expiry() (time.Time, error) {
	cert, _, err := t.load()
	if err != nil {
		return time.Time{}, err
	}
	var authorities time.Time
	for block, rest := pem.Decode(t.CAPEM); block != nil; block, rest = pem.Decode(rest) {
		authority, err := x509.ParseCertificate(block.Bytes)
		if err == nil && authority.NotAfter.After(authorities) {
			authorities = authority.NotAfter
		}
	}
	expiry := cert.Leaf.NotAfter
	if authorities.Before(expiry) {
		expiry = authorities
	}
	return expiry, nil
}

// SecondsLeft returns a function that returns the seconds until Expiry, which are
// negative afterwards.
func (t *TLS) SecondsLeft(now func() time.Time) (func() float64, error) {
	expiry, err := t.Expiry()
	if err != nil {
		return nil, err
	}
	return func() float64 { return expiry.Sub(now()).Seconds() }, nil
}

func (c Config) serverCredentials() (credentials.TransportCredentials, error) {
	if c.TLS == nil {
		return insecure.NewCredentials(), nil
	}
	cert, authorities, err := c.TLS.load()
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{cert},
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ClientCAs:        authorities,
		VerifyConnection: verifyPeer,
	}), nil
}

func (c Config) clientCredentials() (credentials.TransportCredentials, error) {
	if c.TLS == nil {
		return insecure.NewCredentials(), nil
	}
	cert, authorities, err := c.TLS.load()
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{cert},
		RootCAs:          authorities,
		ServerName:       PeerName,
		VerifyConnection: verifyPeer,
	}), nil
}

// verifyPeer rejects a verified certificate without the DNS name PeerName.
func verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer has no certificate")
	}
	if err := state.PeerCertificates[0].VerifyHostname(PeerName); err != nil {
		return errors.Newf("the certificate of the peer lacks the DNS name %q", PeerName)
	}
	return nil
}

// AuthorizeName checks the instance name claimed in a received message. It
// returns an error if the sender's certificate is bound to other instances.
// A certificate that is bound to none, or no TLS, allows every name.
func AuthorizeName(ctx context.Context, name string) error {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return nil
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return nil
	}
	return authorizeName(info.State.PeerCertificates[0].DNSNames, name)
}

func authorizeName(dnsNames []string, name string) error {
	bound := slices.ContainsFunc(dnsNames, func(n string) bool { return strings.HasSuffix(n, instanceSuffix) })
	if !bound || slices.Contains(dnsNames, BoundName(name)) {
		return nil
	}
	return errors.Newf("the certificate of the peer is not that of instance %q", name)
}
