// Package e2e holds tests that start the real processes on loopback: control
// hosts, proxies and stand-in targets. Only tests start processes.
package e2e
