// Package quarantine judges which requests crash the backend servers that run them. It does
// no I/O and reads no clock.
package quarantine
