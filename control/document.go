package control

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"godwitplank/state"
)

// documentFile is the data-folder file that stores the active document. It may be newer than the Raft log, since
// documents also arrive from other VMs, and a restart must not revert to an older one.
const documentFile = "document"

// loadDocument activates the stored document, which was active before the restart.
func (c *Control) loadDocument() error {
	if c.Folder == nil {
		return nil
	}
	data, err := c.Folder.Read(documentFile)
	if err != nil || data == nil {
		return err
	}
	d := &state.DocumentChange{}
	if err := proto.Unmarshal(data, d); err != nil {
		return fmt.Errorf("cannot decode the file %s: %w; remove it and start the VM again, the other VMs have the document", documentFile, err)
	}
	c.applyDocument(d)
	return c.fatalErr
}

// persistDocument writes a document to the data folder before it becomes active.
func (c *Control) persistDocument(d *state.DocumentChange) error {
	if c.Folder == nil {
		return nil
	}
	data, err := proto.Marshal(d)
	if err != nil {
		return err
	}
	return c.Folder.Write(documentFile, data)
}
