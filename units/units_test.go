package units

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSharesKeepTheirValueWhenWrittenAndReadBack(t *testing.T) {
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
