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

// Bounds of the validity of a certificate, inclusive.
const (
	MinValidity          = time.Hour
	MaxAuthorityValidity = 10 * 365 * 24 * time.Hour
	MaxValidity          = 398 * 24 * time.Hour
	// clockSkew is how long before the time of issue a certificate becomes valid.
	clockSkew = 5 * time.Minute
)

// maxNameBytes is the maximum length of an instance name, the same as in the
// settings of an instance.
const maxNameBytes = 64

// instanceName matches a DNS name with letters of either case and underscores.
// Names with colons, which the settings allow, cannot be bound to a certificate.
var instanceName = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

// Pair is a certificate with its private key, as PEM.
type Pair struct {
	CertPEM []byte
	KeyPEM  []byte
	// NotAfter is the end of the validity.
	NotAfter time.Time
}

// NewAuthority returns a self-signed certificate authority whose validity ends
// that long after now. It can sign certificates of instances, but not of further
// authorities. The validity is from MinValidity to MaxAuthorityValidity.
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
// in the settings. The validity is from MinValidity to MaxValidity. The
// certificate expires no later than the authority; it is an error if that leaves
// less than MinValidity.
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

func checkValidity(validity, maxValidity time.Duration) error {
	if validity < MinValidity || validity > maxValidity {
		return errors.Newf("the validity %s is not between %s and %s", validity, MinValidity, maxValidity)
	}
	return nil
}

// newTemplate returns a certificate template without key usages.
// CreateCertificate chooses a random serial number.
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
