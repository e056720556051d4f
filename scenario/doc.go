// Package scenario contains end-to-end tests: testscript scripts that run against a system of separate processes.
//
// The scripts are in testdata. Each one starts daemons (the VMs) and simulated endpoints (the program standin). Unless
// VMs discover each other, the connections from each VM to each other one pass through a relay, which can drop their
// traffic to simulate a network partition.
package scenario
