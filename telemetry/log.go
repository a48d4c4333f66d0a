package telemetry

import (
	"io"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLog returns a logger that writes one JSON line per entry at the level and
// above. It returns an error when the level is unknown.
func NewLog(output io.Writer, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	return zap.New(zapcore.NewCore(newEncoder(), zapcore.Lock(zapcore.AddSync(output)), parsed)), nil
}

func newEncoder() zapcore.Encoder {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zapcore.NewJSONEncoder(config)
}
