package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// buffer is an output that can be held up.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func TestOneMessageIsBounded(t *testing.T) {
	output := &buffer{}
	log, err := NewBoundedLog(output, "info", New())
	assert.NilError(t, err)
	const lines = 5000
	for range lines {
		log.Info("request refused")
	}
	log.Info("started")
	log.Close()
	written := strings.Count(output.text.String(), "request refused")
	assert.Assert(t, written >= logFirst && written < lines/2, "%d lines", written)
	assert.Equal(t, strings.Count(output.text.String(), "started"), 1)
}

func TestASlowOutputHoldsNoOneUp(t *testing.T) {
	output := &buffer{}
	log, err := NewBoundedLog(output, "info", New())
	assert.NilError(t, err)
	output.mu.Lock()
	for i := range 2 * logQueue {
		// Different messages are not sampled.
		log.Info(fmt.Sprint("line ", i))
	}
	output.mu.Unlock()
	log.Close()
	written := strings.Count(output.text.String(), "\n")
	assert.Assert(t, written > 0 && written <= logQueue+logQueue/2, "%d lines", written)
}

func TestTheLevelIsChecked(t *testing.T) {
	_, err := NewBoundedLog(&buffer{}, "loud", New())
	assert.Assert(t, err != nil)
	log, err := NewBoundedLog(&buffer{}, "warn", New())
	assert.NilError(t, err)
	assert.Assert(t, !log.Core().Enabled(zap.InfoLevel))
	log.Close()
}
