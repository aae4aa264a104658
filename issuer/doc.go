// Package issuer makes the certificate authority and the key pairs by which
// instances know each other.
package issuer
