// Package soak runs the programs as processes on one machine, injects faults from outside them, and checks what callers,
// endpoints and the operator see. It has tests only.
package soak
