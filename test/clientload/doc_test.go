// Package clientload starts real daemons with little memory and few descriptors and sends
// them what untrusted clients may send.
package clientload
