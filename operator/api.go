package operator

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"samphireferry.example/ferry/buildinfo"
)

// PathStatus is the path at which an entry instance serves its status.
const PathStatus = "/v1/status"

// StatusSource returns the state of the entry instance. It must be safe for
// concurrent use.
type StatusSource interface {
	Status(ctx context.Context) InstanceStatus
}

type statusOutput struct {
	Body InstanceStatus
}

// Register adds the status API, with its OpenAPI description at /openapi.json,
// to the mux.
func Register(mux *http.ServeMux, source StatusSource) {
	api := humago.New(mux, huma.DefaultConfig("samphireferry for operators", buildinfo.Release))
	huma.Register(api, huma.Operation{
		OperationID: "get-status",
		Method:      http.MethodGet,
		Path:        PathStatus,
		Summary:     "State of this entry instance",
	}, func(ctx context.Context, _ *struct{}) (*statusOutput, error) {
		return &statusOutput{Body: source.Status(ctx)}, nil
	})
}
