package units

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestShareRoundTrip checks every share from 0% to 100% in steps of 0.1%.
func TestShareRoundTrip(t *testing.T) {
	for permille := range 1001 {
		var share, again Share
		text := fmt.Sprintf("\"%d.%d%%\"", permille/10, permille%10)
		assert.NilError(t, json.Unmarshal([]byte(text), &share))
		written, err := json.Marshal(share)
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal(written, &again))
		assert.Equal(t, share, again, text)
	}
}
