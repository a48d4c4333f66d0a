package relay

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/rpc/entrypb"
)

// maxContactAge is the maximum age of the last contact on a connection that is
// used for an at-most-once request without confirming it first.
const maxContactAge = time.Second

// InvariantOneHop states that a relayed request is not relayed again.
const InvariantOneHop invariant.Name = "relay_one_hop"

// Connections provides clients for peers; *entryinstance.Pool implements it.
type Connections interface {
	// Client returns the client of the peer at the RPC address.
	Client(rpcAddress string) (entrypb.EntryClient, error)
	// Confirm returns nil if the last contact with the peer is at most maxAge ago
	// or the peer responds now.
	Confirm(ctx context.Context, rpcAddress string, maxAge time.Duration) error
}

// Client sends requests to the owners of upstreams. It is safe for concurrent
// use.
type Client struct {
	sender      string
	connections Connections
	invariants  *invariant.Checker
}

// NewClient returns a client that relays for the instance with the name sender
// over the connections.
func NewClient(sender string, connections Connections, invariants *invariant.Checker) *Client {
	return &Client{sender: sender, connections: connections, invariants: invariants}
}

// Send relays the request to the instance at the RPC address, to be run on the
// given version of its service. Every error is an *errkind.Error.
//
// The body is read from another goroutine. After Send has returned an error, no
// new Read of the body starts, but a Read in progress may continue for a while.
// Part of the body may have been read even if the owner refused the request, so
// a retry needs a body that can be read again.
func (c *Client) Send(ctx context.Context, rpcAddress string, req *dispatch.Request, version string) (*dispatch.Response, error) {
	_, relayed := Sender(ctx)
	if !c.invariants.Check(!relayed, InvariantOneHop, req.ID) {
		return nil, errkind.New(errkind.NoUpstream, "a relayed request is not relayed again")
	}
	if err := ctx.Err(); err != nil {
		return nil, notSentError(ctx, err)
	}
	client, err := c.connections.Client(rpcAddress)
	if err != nil {
		return nil, notSentError(ctx, err)
	}
	callCtx := ctx
	if req.AtMostOnce() {
		if err := c.connections.Confirm(ctx, rpcAddress, maxContactAge); err != nil {
			return nil, notSentError(ctx, err)
		}
		callCtx = entryinstance.KeepOnSilence(ctx)
	}
	callCtx, cancel := context.WithCancelCause(callCtx)
	stream, err := client.Relay(callCtx)
	if err != nil {
		cancel(nil)
		return nil, notSentError(ctx, err)
	}
	head := encodeHead(ctx, req, version)
	head.Sender = c.sender
	response, err := roundTrip(callCtx, stream, head, req, cancel)
	if err != nil {
		cancel(nil)
		return nil, sentError(ctx, context.Cause(callCtx), err)
	}
	return response, nil
}

// roundTrip sends the request and waits for the head of the response. The cancel
// function ends the stream; the response body calls it when it fails or is
// closed.
func roundTrip(ctx context.Context, stream entrypb.Entry_RelayClient, head *entrypb.RelayHead, req *dispatch.Request, cancel context.CancelCauseFunc) (*dispatch.Response, error) {
	first := &entrypb.RelayRequest{Head: head, End: req.Body == nil}
	if err := stream.Send(first); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if req.Body != nil {
		go sendBody(ctx, stream, req, cancel)
	}
	message, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	if refusal := message.GetRefusal(); refusal != nil {
		return nil, decodeRefusal(refusal)
	}
	if message.GetAnswer() == nil {
		return nil, errors.New("the first message of the response has no head")
	}
	if status := int(message.GetAnswer().GetStatus()); !dispatch.IsFinalStatus(status) {
		return nil, errors.Newf("status %d is no final status", status)
	}
	return &dispatch.Response{
		Status:        int(message.GetAnswer().GetStatus()),
		Header:        decodeHeader(message.GetAnswer().GetHeaders()),
		Body:          newResponseBody(stream, message, cancel),
		ContentLength: message.GetAnswer().GetContentLength(),
		Upstream:      message.GetAnswer().GetUpstream(),
		Version:       head.GetVersion(),
	}, nil
}

// sendBody sends the body in chunks. An error of the body ends the stream, so
// that the owner never mistakes an incomplete body for a complete one.
func sendBody(ctx context.Context, stream entrypb.Entry_RelayClient, req *dispatch.Request, cancel context.CancelCauseFunc) {
	chunks := newChunkReader(req.Body, req.ContentLength)
	for ctx.Err() == nil {
		chunk, end, err := chunks.next()
		if err != nil {
			cancel(bodyError(err))
			return
		}
		if stream.Send(&entrypb.RelayRequest{Chunk: chunk, End: end}) != nil || end {
			return
		}
	}
}

// notSentError returns the error for a request of which nothing was sent.
func notSentError(ctx context.Context, cause error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.Wrap(cause, errkind.DeadlineExceeded, "")
	}
	if ctx.Err() != nil {
		return errkind.Wrap(cause, errkind.CallerGone, "")
	}
	return errkind.Wrap(cause, errkind.NoUpstream, "the entry instance that owns the upstream cannot be reached")
}

// bodyError returns the error for a request whose body could not be read. Part
// of the request has been sent, so an error kind with the outcome NotRun is
// replaced.
func bodyError(cause error) *errkind.Error {
	if kind := errkind.Of(cause); kind != errkind.Internal && kind.Row().Outcome != errkind.NotRun {
		return errkind.Wrap(cause, kind, "")
	}
	return errkind.Wrap(cause, errkind.CallerGone, "the request body broke off")
}

// deadlineSlack is how much earlier the deadline may pass at the owner than at
// this instance, because it is sent as a rounded remaining time.
const deadlineSlack = 10 * time.Millisecond

// deadlinePassed reports whether the deadline of the request has passed, here or
// possibly at the owner.
func deadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Until(deadline) < deadlineSlack
}

// sentError returns the error for a request that may have reached its owner.
// StreamCause is the cause with which this instance ended the stream, if it did.
func sentError(ctx context.Context, streamCause, cause error) error {
	for _, err := range []error{cause, streamCause} {
		if e, ok := lo.ErrorsAs[*errkind.Error](err); ok {
			return e
		}
	}
	switch {
	case deadlinePassed(ctx), status.Code(cause) == codes.DeadlineExceeded:
		return errkind.Wrap(cause, errkind.UpstreamTimeout, "")
	case ctx.Err() != nil:
		return errkind.Wrap(cause, errkind.CallerGone, "")
	default:
		return errkind.Wrap(cause, errkind.UpstreamFailed, "the connection to the entry instance that owns the upstream broke")
	}
}
