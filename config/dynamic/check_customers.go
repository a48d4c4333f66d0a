package dynamic

import (
	"crypto/sha256"
	"encoding/hex"
)

// maxBurst is the largest burst, in tokens, that a share table can divide into whole
// tokens.
const maxBurst = 1_000_000_000

func (c *checker) checkCustomers() {
	for i, customer := range c.set.Customers {
		o := c.forObject(KindCustomer, i, customer.Name)
		o.require(customer.Rate > 0, "rate", "must be over 0")
		o.require(customer.Burst >= 1, "burst", "must be at least 1")
		o.require(customer.Burst <= maxBurst, "burst", "must be at most %d", maxBurst)
		o.require(customer.Weight >= 0, "weight", "must not be negative")
		o.require(customer.Priority == nil || *customer.Priority >= 0, "priority", "must not be negative")
	}
	c.checkKeys()
}

func (c *checker) checkKeys() {
	empty := sha256.Sum256(nil)
	seen := map[[sha256.Size]byte]string{}
	for i, key := range c.set.Keys {
		o := c.forObject(KindKey, i, key.Name)
		o.requireObject("customer", KindCustomer, key.Customer)
		hash, ok := parseHash(key.SHA256)
		if !ok {
			o.addError("sha256", "not 64 hexadecimal digits")
			continue
		}
		o.require(hash != empty, "sha256", "is the hash of an empty key")
		if other, taken := seen[hash]; taken {
			o.addError("sha256", "key %q has the same hash", other)
		}
		seen[hash] = key.Name
	}
}

// parseHash decodes 64 hexadecimal digits. It returns false for any other text.
func parseHash(text string) ([sha256.Size]byte, bool) {
	var hash [sha256.Size]byte
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(hash) {
		return hash, false
	}
	copy(hash[:], decoded)
	return hash, true
}
