package control

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitplank/link"
	"godwitplank/spend"
)

// spendSaveInterval is the minimum time between two writes of the spend counters to the data folder.
const spendSaveInterval = 5 * time.Second

// spendFile is the data-folder file that stores the spend counters.
const spendFile = "spend"

// loadSpend reads the stored spend counters.
func (c *Control) loadSpend() error {
	if c.Folder == nil {
		return nil
	}
	data, err := c.Folder.Read(spendFile)
	if err != nil || data == nil {
		return err
	}
	saved := &link.SpendLines{}
	if err := proto.Unmarshal(data, saved); err != nil {
		return fmt.Errorf("cannot decode the file %s: %w; remove it and start the VM again, the other VMs have the counters", spendFile, err)
	}
	c.mergeSpend(saved.Lines)
	return nil
}

// updateSpend merges this VM's local usage, and stores changed counters at most once per spendSaveInterval.
func (c *Control) updateSpend(now time.Time) {
	c.mergeLocalSpend()
	if c.Folder == nil || c.spendCounters.Revision() == c.spendSavedRevision || now.Sub(c.spendSavedAt) < spendSaveInterval {
		return
	}
	c.saveSpend(now)
}

// saveSpend stores the spend counters. Counters that cannot be stored are stored later.
func (c *Control) saveSpend(now time.Time) {
	lines, revision := c.spendCounters.ChangedSince(0)
	data, err := proto.Marshal(&link.SpendLines{Lines: encodeSpend(lines)})
	if err == nil {
		err = c.Folder.Write(spendFile, data)
	}
	c.spendSavedAt = now
	if err != nil {
		c.handleSpendError(err)
		return
	}
	c.spendSavedRevision = revision
}

// raiseIncarnation changes this VM's incarnation. What was counted so far stays under the earlier one, so that it does not
// count twice.
func (c *Control) raiseIncarnation(incarnation uint64) {
	if c.Tally != nil {
		for _, l := range c.Tally.Take(c.Name, c.Incarnation) {
			c.spendCounters.Merge(l)
		}
	}
	c.Incarnation = incarnation
}

func (c *Control) mergeLocalSpend() {
	if c.Tally == nil {
		return
	}
	for _, l := range c.Tally.Lines(c.Name, c.Incarnation) {
		c.spendCounters.Merge(l)
	}
}

// addSpendChanges adds the counters that changed after the revision since to a reply.
func (c *Control) addSpendChanges(since uint64, reply *link.ExchangeReply) {
	c.mergeLocalSpend()
	lines, revision := c.spendCounters.ChangedSince(since)
	reply.Spend, reply.SpendRevision = encodeSpend(lines), revision
}

func (c *Control) mergeSpend(lines []*link.SpendLine) {
	for _, l := range lines {
		c.spendCounters.Merge(spend.Line{
			Key:    spend.Key{VM: l.Vm, Incarnation: l.Incarnation, Workspace: l.Workspace, Stage: l.Stage},
			Amount: spend.Amount{Calls: l.Calls, Held: time.Duration(l.HeldUs) * time.Microsecond},
		})
	}
}

func encodeSpend(lines []spend.Line) []*link.SpendLine {
	out := make([]*link.SpendLine, 0, len(lines))
	for _, l := range lines {
		out = append(out, &link.SpendLine{
			Vm: l.VM, Incarnation: l.Incarnation, Workspace: l.Workspace, Stage: l.Stage,
			Calls: l.Calls, HeldUs: l.Held.Microseconds(),
		})
	}
	return out
}
