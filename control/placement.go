package control

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwitplank/link"
)

// PlacementServer places prompts for other VMs.
type PlacementServer interface {
	PlacePrompt(ctx context.Context, r *link.PlacePromptRequest) (*link.PlacePromptReply, error)
	ReportPrompts(ctx context.Context, r *link.ReportPromptsRequest) (*link.ReportPromptsReply, error)
}

// PlacePrompt selects an engine for a prompt of another VM. It returns Unimplemented if this VM accepts no callers' requests.
func (c *Control) PlacePrompt(ctx context.Context, r *link.PlacePromptRequest) (*link.PlacePromptReply, error) {
	if c.Placements == nil {
		return nil, status.Error(codes.Unimplemented, "this VM places no prompts; ask a VM that accepts callers' requests")
	}
	return c.Placements.PlacePrompt(ctx, r)
}

// ReportPrompts records the progress of prompts that this VM placed for another VM.
func (c *Control) ReportPrompts(ctx context.Context, r *link.ReportPromptsRequest) (*link.ReportPromptsReply, error) {
	if c.Placements == nil {
		return nil, status.Error(codes.Unimplemented, "this VM places no prompts; ask a VM that accepts callers' requests")
	}
	return c.Placements.ReportPrompts(ctx, r)
}
