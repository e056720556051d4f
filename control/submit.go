package control

import (
	"context"

	"godwitplank/document"
	"godwitplank/fault"
	"godwitplank/state"
)

// SubmitIfNewer submits a validated document, which takes effect if its version is above the current one. A document
// below the current version is accepted without effect. Different content under the current version returns an error of
// kind VersionConflict. The argument source is the document in the operator's own format.
func (c *Control) SubmitIfNewer(ctx context.Context, d *document.Document, source []byte) error {
	canonical, digest := d.Canonical()
	result, err := c.ChangeDocument(ctx, &state.DocumentChange{
		Version: d.Version, Canonical: canonical, Digest: digest, Highest: true, Source: source,
	})
	if err != nil {
		return err
	}
	if !result.Accepted {
		e := fault.New(fault.VersionConflict, "version %d is already active with different content; read it and submit a higher version", d.Version)
		e.Version = result.Version
		return e
	}
	return nil
}

// ReadDocument returns the newest document that a majority has accepted, nil if there is none yet. It reads through a
// committed command, so that the result is never stale.
func (c *Control) ReadDocument(ctx context.Context) (*state.DocumentChange, error) {
	result, err := c.propose(ctx, &state.Command{Change: &state.Command_Read{Read: &state.DocumentRead{}}})
	return result.GetCurrent(), err
}
