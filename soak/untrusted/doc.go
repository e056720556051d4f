// Package untrusted contains end-to-end tests only. They send hostile load to VMs that run as godwitplankd processes and check
// that no process ends, that each stays within its memory and descriptors, and that ordinary requests are still answered.
package untrusted
