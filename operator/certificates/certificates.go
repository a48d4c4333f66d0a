package certificates

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/entryinstance"
)

// Bounds of the validity.
const (
	MinValidity          = time.Hour
	MaxAuthorityValidity = 10 * 365 * 24 * time.Hour
	MaxValidity          = 398 * 24 * time.Hour
	// clockSkew is how far certificates are valid before they are made.
	clockSkew = 5 * time.Minute
)

// maxNameBytes bounds the name of an instance, as its settings do.
const maxNameBytes = 64

// instanceName is a DNS name in letters of either case and with underscores.
// Names with colons, which settings allow, cannot be bound to a certificate.
var instanceName = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

// Pair is a certificate with its private key, as PEM.
type Pair struct {
	CertPEM []byte
	KeyPEM  []byte
	// NotAfter is the end of the validity.
	NotAfter time.Time
}

// NewAuthority returns an authority that signs itself and is valid from now. It
// can sign certificates of instances, but no further authorities.
func NewAuthority(now time.Time, validity time.Duration) (*Pair, error) {
	if err := checkValidity(validity, MaxAuthorityValidity); err != nil {
		return nil, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "key of the authority")
	}
	template := newTemplate(entryinstance.PeerName+" authority", now, now.Add(validity))
	template.IsCA = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	return sign(template, key, template, key)
}

// Issue returns a certificate for the instance with the name, which is its name
// in the settings. The certificate ends no later than the authority; it is an
// error if that leaves less than MinValidity.
func Issue(authority *Pair, name string, now time.Time, validity time.Duration) (*Pair, error) {
	if len(name) > maxNameBytes || !instanceName.MatchString(name) || strings.Contains(name, "..") {
		return nil, errors.Newf("the instance name %q is not 1 to %d letters, digits, dots, hyphens or underscores, with a letter or digit at both ends", name, maxNameBytes)
	}
	if err := checkValidity(validity, MaxValidity); err != nil {
		return nil, err
	}
	parent, parentKey, err := authority.parse()
	if err != nil {
		return nil, err
	}
	end := now.Add(validity)
	if end.After(parent.NotAfter) {
		end = parent.NotAfter
	}
	if end.Sub(now) < MinValidity {
		return nil, errors.Newf("the authority is valid until %s only", parent.NotAfter.Format(time.RFC3339))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "key of the instance")
	}
	template := newTemplate(name, now, end)
	template.DNSNames = []string{entryinstance.PeerName, entryinstance.BoundName(name)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return sign(template, key, parent, parentKey)
}

func checkValidity(validity, longest time.Duration) error {
	if validity < MinValidity || validity > longest {
		return errors.Newf("the validity %s is not between %s and %s", validity, MinValidity, longest)
	}
	return nil
}

// newTemplate returns a certificate without rights. CreateCertificate chooses a
// random serial number.
func newTemplate(commonName string, now, end time.Time) *x509.Certificate {
	return &x509.Certificate{
		Subject:               pkix.Name{CommonName: commonName},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              end,
		BasicConstraintsValid: true,
	}
}

func sign(template *x509.Certificate, key *ecdsa.PrivateKey, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), parentKey)
	if err != nil {
		return nil, errors.Wrap(err, "certificate")
	}
	return encode(der, key, template.NotAfter)
}
