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

// confirmAge is the age of the last sign of life up to which a connection is
// trusted with an at-most-once request.
const confirmAge = time.Second

// OneHop is the invariant that a relayed request is not relayed again.
const OneHop invariant.Name = "relay_one_hop"

// Connections gives clients for peers; *entryinstance.Pool is one.
type Connections interface {
	// Client returns the client of the peer at the RPC address.
	Client(rpcAddress string) (entrypb.EntryClient, error)
	// Confirm returns nil if the peer was heard from within maxAge, or answers now.
	Confirm(ctx context.Context, rpcAddress string, maxAge time.Duration) error
}

// Client sends requests to the owners of upstreams. It is safe for concurrent
// use.
type Client struct {
	sender      string
	connections Connections
	invariants  *invariant.Checker
}

// NewClient returns a client of the instance with the name sender, which uses
// the connections.
func NewClient(sender string, connections Connections, invariants *invariant.Checker) *Client {
	return &Client{sender: sender, connections: connections, invariants: invariants}
}

// Send relays the request to the instance at the RPC address, to be run on the
// given version of its service. Every error is an *errkind.Error.
//
// The body is read from another goroutine. After Send has returned an error no
// further Read of it starts, but one that runs may still do so for a while. A
// part of the body may have been read even if the owner refused the request;
// whoever sends it again needs a body that can be read again.
func (c *Client) Send(ctx context.Context, rpcAddress string, req *dispatch.Request, version string) (*dispatch.Answer, error) {
	_, relayed := Sender(ctx)
	if !c.invariants.Check(!relayed, OneHop, req.ID) {
		return nil, errkind.New(errkind.NoUpstream, "a relayed request is not relayed again")
	}
	if err := ctx.Err(); err != nil {
		return nil, unsent(ctx, err)
	}
	client, err := c.connections.Client(rpcAddress)
	if err != nil {
		return nil, unsent(ctx, err)
	}
	callCtx := ctx
	if req.AtMostOnce() {
		if err := c.connections.Confirm(ctx, rpcAddress, confirmAge); err != nil {
			return nil, unsent(ctx, err)
		}
		callCtx = entryinstance.KeepOnSilence(ctx)
	}
	callCtx, cancel := context.WithCancelCause(callCtx)
	stream, err := client.Relay(callCtx)
	if err != nil {
		cancel(nil)
		return nil, unsent(ctx, err)
	}
	head := encodeHead(ctx, req, version)
	head.Sender = c.sender
	answer, err := exchange(callCtx, stream, head, req, cancel)
	if err != nil {
		cancel(nil)
		return nil, sent(ctx, context.Cause(callCtx), err)
	}
	return answer, nil
}

// exchange sends the request and waits for the head of the answer. The cancel
// function ends the stream; the answer's body calls it when it is done.
func exchange(ctx context.Context, stream entrypb.Entry_RelayClient, head *entrypb.RelayHead, req *dispatch.Request, cancel context.CancelCauseFunc) (*dispatch.Answer, error) {
	first := &entrypb.RelayRequest{Head: head, End: req.Body == nil}
	if err := stream.Send(first); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if req.Body != nil {
		go sendBody(ctx, stream, req, cancel)
	}
	response, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	if refusal := response.GetRefusal(); refusal != nil {
		return nil, decodeRefusal(refusal)
	}
	if response.GetAnswer() == nil {
		return nil, errors.New("the answer has no head")
	}
	return &dispatch.Answer{
		Status:        int(response.GetAnswer().GetStatus()),
		Header:        decodeHeader(response.GetAnswer().GetHeaders()),
		Body:          newAnswerBody(stream, response, cancel),
		ContentLength: response.GetAnswer().GetContentLength(),
		Upstream:      response.GetAnswer().GetUpstream(),
		Version:       head.GetVersion(),
	}, nil
}

// sendBody sends the body in chunks. A body that fails ends the stream, so
// that the owner never takes a part of it for the whole.
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

// unsent returns the error of a request of which nothing was sent.
func unsent(ctx context.Context, cause error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.Wrap(cause, errkind.DeadlineExceeded, "")
	}
	if ctx.Err() != nil {
		return errkind.Wrap(cause, errkind.CallerGone, "")
	}
	return errkind.Wrap(cause, errkind.NoUpstream, "the entry instance that owns the upstream cannot be reached")
}

// bodyError returns the error of a request whose body failed. A part of it has
// been sent, so a kind that promises not-run is not kept.
func bodyError(cause error) *errkind.Error {
	if kind := errkind.Of(cause); kind != errkind.Internal && kind.Row().Outcome != errkind.NotRun {
		return errkind.Wrap(cause, kind, "")
	}
	return errkind.Wrap(cause, errkind.CallerGone, "the request body broke off")
}

// deadlineSlack is how much earlier than this instance the owner may see the
// deadline, which travels as a rounded time to go.
const deadlineSlack = 10 * time.Millisecond

// deadlineDue says whether the deadline of the request has passed, here or by
// the clock of the owner.
func deadlineDue(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Until(deadline) < deadlineSlack
}

// sent returns the error of a request that may have reached its owner. Ended
// is the cause with which this instance ended the stream, if it did.
func sent(ctx context.Context, ended, cause error) error {
	for _, err := range []error{cause, ended} {
		if e, ok := lo.ErrorsAs[*errkind.Error](err); ok {
			return e
		}
	}
	switch {
	case deadlineDue(ctx), status.Code(cause) == codes.DeadlineExceeded:
		return errkind.Wrap(cause, errkind.UpstreamTimeout, "")
	case ctx.Err() != nil:
		return errkind.Wrap(cause, errkind.CallerGone, "")
	default:
		return errkind.Wrap(cause, errkind.UpstreamFailed, "the connection to the entry instance that owns the upstream broke")
	}
}
