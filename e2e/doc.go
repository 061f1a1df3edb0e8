// Package e2e holds end-to-end tests that run the real processes on loopback:
// control hosts, proxies and stand-in targets. Only tests start processes; the
// product never does.
package e2e
