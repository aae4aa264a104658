// Package issuer creates the certificate authority and the key pairs that instances
// use to authenticate each other with mutual TLS, and stores and loads them as files.
package issuer
