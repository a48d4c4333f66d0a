package requestkeys

import (
	"crypto/sha256"
	"net/http"
	"strconv"
	"strings"

	"samphireferry.example/ferry/errkind"
)

// Header is the HTTP header that carries the key.
const Header = "Idempotency-Key"

// Limits of a key, in bytes.
const (
	// MaxHomeBytes bounds the home.
	MaxHomeBytes = 128
	// MaxUniqueBytes bounds the unique part.
	MaxUniqueBytes = 128
)

const (
	slotSeparator = "~"
	slotBase      = 36
)

// Key is a parsed idempotency key.
type Key struct {
	// Incarnation is that of the entry instance that handed the home out.
	Incarnation string
	// Slot is the number of the time slot in which it did.
	Slot int64
	// Unique is the part that the caller chose.
	Unique string
}

// HomeName returns the home that callers put into keys.
func HomeName(incarnation string, slot int64) string {
	return incarnation + slotSeparator + strconv.FormatInt(slot, slotBase)
}

// String returns the key as callers write it.
func (k Key) String() string { return HomeName(k.Incarnation, k.Slot) + "." + k.Unique }

// ParseKey parses the value of the Idempotency-Key header. Every error has the
// kind errkind.IdempotencyKeyMissing.
func ParseKey(text string) (Key, error) {
	if text == "" {
		return Key{}, unusable("the header is missing")
	}
	dot := strings.LastIndexByte(text, '.')
	if dot < 0 {
		return Key{}, unusable("the key has no home; take one from /v1/entry-instances")
	}
	home, unique := text[:dot], text[dot+1:]
	switch {
	case len(home) > MaxHomeBytes:
		return Key{}, unusable("the home is longer than 128 bytes")
	case len(unique) > MaxUniqueBytes:
		return Key{}, unusable("the unique part is longer than 128 bytes")
	case unique == "":
		return Key{}, unusable("the unique part is empty")
	case strings.ContainsFunc(text, forbidden):
		return Key{}, unusable("the key has characters other than letters, digits and -_.~:")
	}
	incarnation, slotText, found := cutLast(home, slotSeparator)
	slot, err := strconv.ParseInt(slotText, slotBase, 64)
	if !found || incarnation == "" || err != nil || slot < 0 || strconv.FormatInt(slot, slotBase) != slotText {
		return Key{}, unusable("the home is not one from /v1/entry-instances")
	}
	return Key{Incarnation: incarnation, Slot: slot, Unique: unique}, nil
}

// FromHeader parses the key of a request. A repeated header is refused.
func FromHeader(header http.Header) (Key, error) {
	values := header[Header]
	if len(values) > 1 {
		return Key{}, unusable("the header is repeated")
	}
	return ParseKey(header.Get(Header))
}

func unusable(detail string) error {
	return errkind.New(errkind.IdempotencyKeyMissing, detail)
}

func forbidden(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	default:
		return !strings.ContainsRune("-_.~:", r)
	}
}

func cutLast(s, separator string) (before, after string, found bool) {
	i := strings.LastIndex(s, separator)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(separator):], true
}

// scopedKey joins the customer and the key for messages that have one field
// for both. A key contains no slash.
func scopedKey(customer, key string) string { return customer + "/" + key }

func splitScopedKey(scoped string) (customer, key string, ok bool) {
	return cutLast(scoped, "/")
}

// fingerprintBytes is the size of a fingerprint.
const fingerprintBytes = 16

// bodyHeaders describe the body of a request.
var bodyHeaders = []string{"Content-Type", "Content-Encoding", "Content-Length"}

// Fingerprint returns what tells requests with the same key apart. The length
// of the body is -1 when it is not known.
func Fingerprint(route, method, path, rawQuery string, header http.Header, contentLength int64) []byte {
	hash := sha256.New()
	parts := []string{route, method, path, rawQuery, strconv.FormatInt(contentLength, 10)}
	for _, name := range bodyHeaders {
		parts = append(parts, strings.Join(header[name], "\x01"))
	}
	for _, part := range parts {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return hash.Sum(nil)[:fingerprintBytes]
}
