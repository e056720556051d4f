// Package soak contains end-to-end fault-injection tests only. They run VMs as godwitplankd processes on one machine, inject
// faults with signals, TCP proxies and misbehaving endpoints, and check what callers, endpoints and the operator observe.
package soak
