package control

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwitplank/link"
)

// PieceServer dispatches pieces of stages for other VMs.
type PieceServer interface {
	RunPieces(ctx context.Context, r *link.RunPiecesRequest) (*link.RunPiecesReply, error)
	FreePieces(ctx context.Context, r *link.FreePiecesRequest) (*link.FreePiecesReply, error)
}

// RunPieces dispatches pieces for another VM and returns the handles of their results. It returns Unimplemented if this
// VM accepts no callers' requests.
func (c *Control) RunPieces(ctx context.Context, r *link.RunPiecesRequest) (*link.RunPiecesReply, error) {
	if c.Pieces == nil {
		return nil, status.Error(codes.Unimplemented, "this VM does not dispatch pieces; ask a VM that accepts callers' requests")
	}
	return c.Pieces.RunPieces(ctx, r)
}

// FreePieces releases results for another VM. It returns Unimplemented if this VM accepts no callers' requests.
func (c *Control) FreePieces(ctx context.Context, r *link.FreePiecesRequest) (*link.FreePiecesReply, error) {
	if c.Pieces == nil {
		return nil, status.Error(codes.Unimplemented, "this VM does not dispatch pieces; ask a VM that accepts callers' requests")
	}
	return c.Pieces.FreePieces(ctx, r)
}

// LinkClient returns a gRPC client for a VM, nil if the VM is not known.
func (c *Control) LinkClient(ctx context.Context, vm string) link.LinkClient {
	var p *peer
	if c.do(ctx, func() { p = c.callPeer(vm) }) != nil || p == nil {
		return nil
	}
	return p.client()
}

// SettleTime returns how long it takes until the other VMs know that a VM stops or is lost.
func (c *Control) SettleTime() time.Duration {
	return c.View().SettleTime
}

// DispatcherVMs returns the names of the alive VMs that dispatch pieces for other VMs.
func (c *Control) DispatcherVMs() []string {
	return c.View().DispatcherVMs
}
