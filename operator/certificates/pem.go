package certificates

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"time"

	"github.com/cockroachdb/errors"
)

// Types of PEM blocks.
const (
	blockCertificate = "CERTIFICATE"
	blockKey         = "PRIVATE KEY"
)

func encode(der []byte, key *ecdsa.PrivateKey, notAfter time.Time) (*Pair, error) {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "private key")
	}
	return &Pair{
		CertPEM:  pem.EncodeToMemory(&pem.Block{Type: blockCertificate, Bytes: der}),
		KeyPEM:   pem.EncodeToMemory(&pem.Block{Type: blockKey, Bytes: keyDER}),
		NotAfter: notAfter,
	}, nil
}

// parse returns the authority's certificate and key. It returns an error if they
// do not belong together, are not those of an authority or the key is not ECDSA.
func (p *Pair) parse() (*x509.Certificate, *ecdsa.PrivateKey, error) {
	pair, err := tls.X509KeyPair(p.CertPEM, p.KeyPEM)
	if err != nil {
		return nil, nil, errors.Wrap(err, "certificate and key of the authority")
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, errors.New("the key of the authority is not an ECDSA key")
	}
	if !pair.Leaf.IsCA {
		return nil, nil, errors.Newf("the certificate of %q is not that of an authority", pair.Leaf.Subject.CommonName)
	}
	return pair.Leaf, key, nil
}
