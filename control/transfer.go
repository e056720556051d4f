package control

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"godwitplank/difference"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/link"
	"godwitplank/state"
	"godwitplank/timer"
	"godwitplank/vm"
)

const (
	// transferStallTimeout is how long a transfer of the document may make no progress. Its whole duration is not limited.
	transferStallTimeout = time.Second
	// transferRetryInterval is how long a VM is not asked again after a failed transfer.
	transferRetryInterval = 500 * time.Millisecond
	// unaryTransferTimeout limits the transfer from a VM of a build without TransferDocument, which shows no progress.
	unaryTransferTimeout = 30 * time.Second
	documentPartBytes    = 32 << 10
	// maxTransferBytes limits the document with its source, encoded and decoded.
	maxTransferBytes = 4 * document.MaxBytes
)

var (
	errTransferStalled = errors.New("no part of the document arrived in time")
	errUndecodable     = errors.New("the transferred document cannot be decoded")
	errWrongDigest     = errors.New("it does not have the digest that it states")
)

// transfer is the state of the transfer of the document from other VMs, of which there is at most one at a time: several
// would share the link and carry the same bytes. The control goroutine owns it.
type transfer struct {
	active bool
	// whole requests the whole document, after a difference could not be decoded.
	whole bool
}

// startTransfer starts the transfer of the document if another VM has a newer one and no transfer is in progress.
func (c *Control) startTransfer() {
	if c.transfer.active || c.documentSource(c.Clock.Now()) == nil {
		return
	}
	c.transfer.active = true
	c.wg.Go(func() { c.transferDocuments(c.runCtx) })
}

// transferDocuments transfers the document until this VM has the newest one that it knows of, or each VM that has it has
// failed to send it.
func (c *Control) transferDocuments(ctx context.Context) {
	for {
		var source *peer
		var held *state.DocumentChange
		var expected uint64
		err := c.do(ctx, func() {
			if source = c.documentSource(c.Clock.Now()); source == nil {
				c.transfer.active = false
				return
			}
			held, expected = c.storedDocument, source.documentVersion
			if c.transfer.whole {
				held = nil
			}
		})
		if err != nil || source == nil {
			return
		}
		started := c.Clock.Now()
		d, bytes, err := c.transferFrom(ctx, source, held)
		c.reportTransfer(source, expected, d, bytes, c.Clock.Now().Sub(started), err)
		if c.do(ctx, func() { c.endTransfer(source, d, err) }) != nil {
			return
		}
	}
}

// endTransfer activates a transferred document.
func (c *Control) endTransfer(source *peer, d *state.DocumentChange, err error) {
	if err != nil {
		source.transferFailedAt = c.Clock.Now()
		c.transfer.whole = errors.Is(err, errUndecodable)
		return
	}
	c.transfer.whole = false
	source.transferFailedAt = time.Time{}
	// A VM that restarted after its last reply may have an older document than it reported.
	source.documentVersion = d.GetVersion()
	c.applyDocument(d)
}

// documentSource returns the peer to transfer the document from: the one whose last transfer did not fail, or failed first;
// of several the one with the newest version, preferably in this VM's data centre. It returns nil if no peer has a newer
// document than this VM.
func (c *Control) documentSource(now time.Time) *peer {
	var best *peer
	for _, p := range c.peers {
		if p.callsOnly || p.isSelf || p.documentVersion <= c.storedDocument.GetVersion() ||
			now.Sub(p.lastReplyAt) >= vm.AliveTimeout || now.Sub(p.transferFailedAt) < transferRetryInterval {
			continue
		}
		if best == nil || c.compareSources(p, best) < 0 {
			best = p
		}
	}
	return best
}

// compareSources orders peers by their fitness as source of the document, the best first.
func (c *Control) compareSources(a, b *peer) int {
	if !a.transferFailedAt.Equal(b.transferFailedAt) {
		return a.transferFailedAt.Compare(b.transferFailedAt)
	}
	if a.documentVersion != b.documentVersion {
		return cmp.Compare(b.documentVersion, a.documentVersion)
	}
	if near := c.nearPeer(a); near != c.nearPeer(b) {
		if near {
			return -1
		}
		return 1
	}
	return a.addr.Compare(b.addr)
}

func (c *Control) reportTransfer(source *peer, expected uint64, d *state.DocumentChange, bytes int, took time.Duration, err error) {
	if err != nil {
		c.Meter.RecordDocumentFetch("failed", took)
		c.Log.Log(event.DocumentFetchFailed, "peer", source.addr.String(), "document_version", expected, "active_version", c.View().DocumentVersion(),
			"bytes", bytes, "took_ms", took.Milliseconds(), "error", err.Error())
		return
	}
	c.Meter.RecordDocumentFetch("done", took)
	c.Log.Log(event.DocumentFetched, "peer", source.addr.String(), "document_version", d.GetVersion(), "bytes", bytes, "took_ms", took.Milliseconds())
}

// transferFrom transfers the document of a peer, as a difference to the held one if there is one. It also returns the
// number of bytes that it received.
func (c *Control) transferFrom(ctx context.Context, p *peer, held *state.DocumentChange) (*state.DocumentChange, int, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := timer.NewAlarm(transferStallTimeout, func() { cancel(errTransferStalled) })
	defer stall.Stop()
	request := &link.TransferDocumentRequest{HeldDigest: held.GetDigest(), WithSource: c.Folder != nil || !c.HubsOnly}
	data, base, err := receiveParts(ctx, p.client(), request, stall)
	if status.Code(err) == codes.Unimplemented {
		stall.Stop()
		return fetchWhole(ctx, p)
	}
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, len(data), err
	}
	var earlier []byte
	if base != "" {
		earlier = held.GetCanonical()
	}
	d, err := decodeDocument(data, earlier)
	if err != nil {
		return nil, len(data), fmt.Errorf("%w: %w", errUndecodable, err)
	}
	return d, len(data), nil
}

// receiveParts receives the parts of an encoded document. Each part postpones the alarm.
func receiveParts(ctx context.Context, client link.LinkClient, request *link.TransferDocumentRequest, stall *timer.Alarm) (data []byte, base string, err error) {
	stream, err := client.TransferDocument(ctx, request)
	if err != nil {
		return nil, "", err
	}
	first := true
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return data, base, nil
		}
		if err != nil {
			return data, "", err
		}
		stall.Reset(transferStallTimeout)
		if first {
			first, base = false, part.BaseDigest
		}
		if size := max(part.TotalBytes, int64(len(data)+len(part.Data))); size > maxTransferBytes {
			return nil, "", fmt.Errorf("the document takes at least %d bytes; at most %d are accepted", size, maxTransferBytes)
		}
		data = append(data, part.Data...)
	}
}

func decodeDocument(data, earlier []byte) (*state.DocumentChange, error) {
	payload, err := difference.Decode(data, earlier, maxTransferBytes)
	if err != nil {
		return nil, err
	}
	d := &state.DocumentChange{}
	if err := proto.Unmarshal(payload, d); err != nil {
		return nil, err
	}
	if document.SHA256(d.Canonical) != d.Digest {
		return nil, errWrongDigest
	}
	return d, nil
}

// fetchWhole fetches the document from a VM of a build that does not send it in parts.
func fetchWhole(ctx context.Context, p *peer) (*state.DocumentChange, int, error) {
	ctx, cancel := context.WithTimeout(ctx, unaryTransferTimeout)
	defer cancel()
	reply, err := p.client().FetchDocument(ctx, &link.FetchDocumentRequest{})
	return reply.GetDocument(), proto.Size(reply), err
}

// TransferDocument sends this VM's active document in parts.
func (c *Control) TransferDocument(r *link.TransferDocumentRequest, stream grpc.ServerStreamingServer[link.DocumentPart]) error {
	var d *state.DocumentChange
	if err := c.do(stream.Context(), func() { d = c.storedDocument }); err != nil {
		return err
	}
	if d == nil {
		return status.Error(codes.NotFound, "this VM has no document yet; ask another VM")
	}
	kind, content := "canonical", &state.DocumentChange{Version: d.Version, Canonical: d.Canonical, Digest: d.Digest}
	if r.WithSource {
		kind, content = "with source", d
	}
	data, base, err := c.history.Encode(d.Digest, kind, r.HeldDigest, func() ([]byte, error) { return proto.Marshal(content) })
	if err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	part := &link.DocumentPart{Version: d.Version, BaseDigest: base, TotalBytes: int64(len(data))}
	for {
		n := min(len(data), documentPartBytes)
		part.Data, data = data[:n], data[n:]
		if err := stream.Send(part); err != nil || len(data) == 0 {
			return err
		}
		part = &link.DocumentPart{}
	}
}
