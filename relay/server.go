package relay

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/rpc/entrypb"
)

// Handler runs the request on an upstream of this instance, or refuses it. The
// context is marked by WithSender and ends at the sender's deadline or when the
// sender cancels the request. A refusal is an *errkind.Error whose kind must
// state correctly whether the request has run.
type Handler func(ctx context.Context, req *dispatch.Request, version string) (*dispatch.Response, error)

// Server handles relayed requests.
type Server struct {
	table   func() *routing.Table
	handler Handler
}

// NewServer returns a server that looks up routes and customers in the table
// that the function returns, which is nil while there is no configuration.
func NewServer(table func() *routing.Table, handler Handler) *Server {
	return &Server{table: table, handler: handler}
}

// Serve handles one relayed request.
func (s *Server) Serve(stream entrypb.Entry_RelayServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	head := first.GetHead()
	if head == nil {
		return status.Error(codes.InvalidArgument, "the first message has no head")
	}
	ctx, cancel := requestContext(stream.Context(), head)
	defer cancel()
	req, err := s.resolveRequest(head)
	if err != nil {
		return stream.Send(&entrypb.RelayResponse{Refusal: encodeRefusal(err)})
	}
	if !first.GetEnd() {
		req.Body = newRequestBody(stream, first.GetChunk())
	}
	response, err := s.handler(ctx, req, head.GetVersion())
	if err != nil {
		return stream.Send(&entrypb.RelayResponse{Refusal: encodeRefusal(err)})
	}
	defer response.Body.Close()
	return sendResponse(stream, response)
}

func requestContext(ctx context.Context, head *entrypb.RelayHead) (context.Context, context.CancelFunc) {
	ctx = WithSender(ctx, head.GetSender())
	if head.GetDeadlineMs() == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(head.GetDeadlineMs())*time.Millisecond)
}

// resolveRequest resolves the names in the head. It refuses a request that this
// instance would handle differently from the sender, according to its own
// configuration.
func (s *Server) resolveRequest(head *entrypb.RelayHead) (*dispatch.Request, error) {
	table := s.table()
	if table == nil {
		return nil, errkind.New(errkind.NoConfiguration, "")
	}
	route := table.Route(head.GetRoute())
	customer := table.Customer(head.GetCustomer())
	switch {
	case route == nil || route.Service.Name != head.GetService():
		return nil, errkind.New(errkind.NoUpstream, "the owner of the upstream does not have the route")
	case route.AtMostOnce != head.GetAtMostOnce():
		return nil, errkind.New(errkind.NoUpstream, "the owner of the upstream has another kind for the route")
	case customer == nil || !route.Admits(customer):
		return nil, errkind.New(errkind.NoUpstream, "the owner of the upstream does not admit the customer")
	}
	return &dispatch.Request{
		ID:            head.GetRequestId(),
		Route:         route,
		Customer:      customer,
		Method:        decodeText(head.GetMethod()),
		Path:          decodeText(head.GetPath()),
		RawQuery:      decodeText(head.GetQuery()),
		Host:          decodeText(head.GetHost()),
		Header:        decodeHeader(head.GetHeaders()),
		ContentLength: head.GetContentLength(),
	}, nil
}

// sendResponse sends the head, the body and the end mark. A truncated body gets
// no end mark.
func sendResponse(stream entrypb.Entry_RelayServer, response *dispatch.Response) error {
	head := &entrypb.RelayAnswer{
		Status:        uint32(response.Status),
		Headers:       encodeHeader(response.Header),
		ContentLength: response.ContentLength,
		Upstream:      response.Upstream,
	}
	if err := stream.Send(&entrypb.RelayResponse{Answer: head}); err != nil {
		return err
	}
	chunks := newChunkReader(response.Body, response.ContentLength)
	for {
		chunk, end, err := chunks.next()
		if err != nil {
			return status.Error(codes.Aborted, "the answer of the upstream was cut")
		}
		if err := stream.Send(&entrypb.RelayResponse{Chunk: chunk, End: end}); err != nil || end {
			return err
		}
	}
}
