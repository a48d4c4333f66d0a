package requestkeys

import (
	"crypto/sha256"
	"net/http"
	"strconv"
	"strings"

	"samphireferry.example/ferry/errkind"
)

// HeaderIdempotencyKey is the name of the HTTP header that carries the idempotency
// key.
const HeaderIdempotencyKey = "Idempotency-Key"

// Limits of a key, in bytes.
const (
	// MaxHomeBytes is the maximum length of the home.
	MaxHomeBytes = 128
	// MaxUniqueBytes is the maximum length of the unique part.
	MaxUniqueBytes = 128
)

const (
	slotSeparator = "~"
	slotBase      = 36
)

// Key is a parsed idempotency key.
type Key struct {
	// Incarnation identifies the run of the entry instance that issued the home.
	Incarnation string
	// Slot is the number of the time slot in which the home was issued; the
	// first slot of an incarnation is 0.
	Slot int64
	// Unique is the part chosen by the caller.
	Unique string
}

// HomeName returns the home part of the keys of an incarnation and slot.
func HomeName(incarnation string, slot int64) string {
	return incarnation + slotSeparator + strconv.FormatInt(slot, slotBase)
}

// String returns the key as sent in the Idempotency-Key header.
func (k Key) String() string { return HomeName(k.Incarnation, k.Slot) + "." + k.Unique }

// ParseKey parses the value of the Idempotency-Key header. Every error has the
// kind errkind.IdempotencyKeyMissing.
func ParseKey(text string) (Key, error) {
	if text == "" {
		return Key{}, keyError("the header is missing")
	}
	dot := strings.LastIndexByte(text, '.')
	if dot < 0 {
		return Key{}, keyError("the key has no home; take one from /v1/entry-instances")
	}
	home, unique := text[:dot], text[dot+1:]
	switch {
	case len(home) > MaxHomeBytes:
		return Key{}, keyError("the home is longer than 128 bytes")
	case len(unique) > MaxUniqueBytes:
		return Key{}, keyError("the unique part is longer than 128 bytes")
	case unique == "":
		return Key{}, keyError("the unique part is empty")
	case strings.ContainsFunc(text, isForbidden):
		return Key{}, keyError("the key has characters other than letters, digits and -_.~:")
	}
	incarnation, slotText, found := cutLast(home, slotSeparator)
	slot, err := strconv.ParseInt(slotText, slotBase, 64)
	if !found || incarnation == "" || err != nil || slot < 0 || strconv.FormatInt(slot, slotBase) != slotText {
		return Key{}, keyError("the home is not one from /v1/entry-instances")
	}
	return Key{Incarnation: incarnation, Slot: slot, Unique: unique}, nil
}

// FromHeader parses the key in the headers of a request. It rejects a repeated
// header. Every error has the kind errkind.IdempotencyKeyMissing.
func FromHeader(header http.Header) (Key, error) {
	values := header[HeaderIdempotencyKey]
	if len(values) > 1 {
		return Key{}, keyError("the header is repeated")
	}
	return ParseKey(header.Get(HeaderIdempotencyKey))
}

func keyError(detail string) error {
	return errkind.New(errkind.IdempotencyKeyMissing, detail)
}

// isForbidden reports whether the character may not occur in a key.
func isForbidden(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	default:
		return !strings.ContainsRune("-_.~:", r)
	}
}

// cutLast is like strings.Cut, but cuts at the last separator.
func cutLast(s, separator string) (before, after string, found bool) {
	i := strings.LastIndex(s, separator)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(separator):], true
}

// scopedKey joins the customer and the key for messages that have one field
// for both. A key contains no slash, so the last slash separates them.
func scopedKey(customer, key string) string { return customer + "/" + key }

func splitScopedKey(scoped string) (customer, key string, ok bool) {
	return cutLast(scoped, "/")
}

// fingerprintBytes is the length of a fingerprint in bytes.
const fingerprintBytes = 16

// bodyHeaders are the headers that describe the body of a request.
var bodyHeaders = []string{"Content-Type", "Content-Encoding", "Content-Length"}

// Fingerprint returns a hash that distinguishes different requests with the
// same key. It covers no body bytes; contentLength is the length of the body in
// bytes, -1 if unknown.
func Fingerprint(route, method, path, rawQuery string, header http.Header, contentLength int64) []byte {
	hash := sha256.New()
	fields := []string{route, method, path, rawQuery, strconv.FormatInt(contentLength, 10)}
	for _, name := range bodyHeaders {
		fields = append(fields, strings.Join(header[name], "\x01"))
	}
	for _, field := range fields {
		hash.Write([]byte(strconv.Itoa(len(field)) + ":" + field))
	}
	return hash.Sum(nil)[:fingerprintBytes]
}
