package console

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"godwitplank/control"
	"godwitplank/entry"
	"godwitplank/fault"
	"godwitplank/raft"
)

// Status is the response body of GET /v1/status: the system as the answering VM sees it.
type Status struct {
	VM              string `json:"vm"`
	DocumentVersion uint64 `json:"document_version"`
	DocumentDigest  string `json:"document_digest"`
	Ready           bool   `json:"ready"`
	Stopping        bool   `json:"stopping"`
	// DiskFull is true while the disk of the answering VM refuses writes for a lack of space.
	DiskFull  bool             `json:"disk_full,omitempty"`
	Group     *GroupStatus     `json:"group,omitempty"`
	VMs       []VMStatus       `json:"vms"`
	Endpoints []EndpointStatus `json:"endpoints"`
}

// GroupStatus describes the Raft group: from its leader if it answers, or else as last known to this VM. Repaired is
// true if the group has all its voters and each responds and has synced every committed entry; only the leader can
// report it.
type GroupStatus struct {
	ID       string          `json:"id"`
	LeaderVM string          `json:"leader_vm,omitempty"`
	Term     uint64          `json:"term,omitempty"`
	Commit   uint64          `json:"commit,omitempty"`
	Repaired bool            `json:"repaired"`
	Replicas []ReplicaStatus `json:"replicas"`
}

// ReplicaStatus describes one replica of the Raft group. Role is voter or learner.
type ReplicaStatus struct {
	VM        string `json:"vm"`
	ReplicaID string `json:"replica_id"`
	Role      string `json:"role"`
	// Position is the highest log index that the replica is known to have synced to disk; 0 if unknown.
	Position uint64 `json:"position"`
}

// VMStatus describes one VM. Role is leader, voter, learner or follower_of_document, a VM without a replica; State
// is working, stopping or lost.
type VMStatus struct {
	Name            string `json:"name"`
	DataCentre      string `json:"data_centre"`
	Role            string `json:"role"`
	State           string `json:"state"`
	DocumentVersion uint64 `json:"document_version"`
	OperatorsAddr   string `json:"operators_addr"`
	CallersAddr     string `json:"callers_addr"`
}

// EndpointStatus describes one endpoint. State is working, leaving (the endpoint is draining), lost, not_admitted,
// planned_stop (no new work, because its planned stop is near or past) or evacuated (no new work, because its data centre
// is evacuated). InFlight counts the answering VM's own calls to
// the endpoint.
type EndpointStatus struct {
	EndpointID string `json:"endpoint_id"`
	Pool       string `json:"pool"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	State      string `json:"state"`
	// Conflict names another address that announces the same ID, or another ID at the same address; empty if there is
	// no recent conflict.
	Conflict string `json:"conflict,omitempty"`
	InFlight int64  `json:"in_flight"`
}

func (c *Console) getStatus(w http.ResponseWriter, r *http.Request) {
	entry.WriteJSON(w, http.StatusOK, c.status(r.Context()))
}

func (c *Console) status(ctx context.Context) Status {
	v := *c.Views.View()
	v.Group = c.Operations.Group(ctx)
	s := Status{VM: c.Name, DocumentDigest: v.Digest, Ready: v.Ready, Stopping: v.Stopping, DiskFull: !v.DiskFullSince.IsZero(), VMs: []VMStatus{}, Endpoints: []EndpointStatus{}}
	if v.Document != nil {
		s.DocumentVersion = v.Document.Version
	}
	if v.Group != nil {
		s.Group = groupStatus(v.Group.Membership)
		s.Group.LeaderVM, s.Group.Term, s.Group.Commit, s.Group.Repaired = v.Group.LeaderVm, v.Group.Term, v.Group.Commit, v.Group.Repaired
		positions := make(map[string]uint64)
		for _, p := range v.Group.Positions {
			positions[p.ReplicaId] = p.Match
		}
		for i := range s.Group.Replicas {
			s.Group.Replicas[i].Position = positions[s.Group.Replicas[i].ReplicaID]
		}
	}
	s.VMs = append(s.VMs, VMStatus{
		Name: c.Name, DataCentre: c.DataCentre, Role: roleOf(&v, c.Name), State: vmState(true, v.Stopping),
		DocumentVersion: s.DocumentVersion, OperatorsAddr: c.OperatorsAddr.String(), CallersAddr: c.CallersAddr.String(),
	})
	for i := range v.VMs {
		e := &v.VMs[i]
		s.VMs = append(s.VMs, VMStatus{
			Name: e.Name, DataCentre: e.DataCentre, Role: roleOf(&v, e.Name), State: vmState(e.Alive(v.PublishedAt), e.Stopping),
			DocumentVersion: e.DocumentVersion, OperatorsAddr: e.OperatorsAddr.String(), CallersAddr: e.CallersAddr.String(),
		})
	}
	for _, e := range v.Endpoints {
		s.Endpoints = append(s.Endpoints, endpointStatus(v.PublishedAt, e))
	}
	return s
}

func endpointStatus(now time.Time, e control.EndpointStatus) EndpointStatus {
	s := EndpointStatus{
		EndpointID: e.EndpointID, Pool: e.Pool, DataCentre: e.DataCentre, Address: e.Address,
		State: e.State(now), InFlight: e.InFlight,
	}
	if now.Before(e.ConflictUntil) {
		s.Conflict = e.ConflictWith
	}
	return s
}

func vmState(alive, stopping bool) string {
	switch {
	case !alive:
		return "lost"
	case stopping:
		return "stopping"
	}
	return "working"
}

func roleOf(v *control.View, name string) string {
	if v.Group != nil && v.Group.LeaderVm == name {
		return "leader"
	}
	for _, r := range v.Group.GetMembership().GetReplicas() {
		if r.Vm == name {
			return replicaRole(r)
		}
	}
	return "follower_of_document"
}

func replicaRole(r *raft.Replica) string {
	if r.Learner {
		return "learner"
	}
	return "voter"
}

func groupStatus(m *raft.Membership) *GroupStatus {
	s := &GroupStatus{ID: m.GetGroup(), Replicas: []ReplicaStatus{}}
	for _, r := range m.GetReplicas() {
		s.Replicas = append(s.Replicas, ReplicaStatus{VM: r.Vm, ReplicaID: r.Id, Role: replicaRole(r)})
	}
	return s
}

func readJSON(w http.ResponseWriter, r *http.Request, value any) *fault.Error {
	body, readErr := entry.ReadBody(w, r, entry.MaxBodyBytes)
	if readErr != nil {
		return readErr
	}
	if err := json.Unmarshal(body, value); err != nil {
		return fault.New(fault.BadRequest, "the request body is not the expected JSON (%v); see docs/INTERFACES.md for its format", err)
	}
	return nil
}
