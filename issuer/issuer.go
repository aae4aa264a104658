package issuer

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
)

// Lifetimes of the issued certificates.
const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	instanceLifetime  = 365 * 24 * time.Hour
	clockSkew         = time.Hour // certificates are valid from this long before their issue
)

// AuthorityName is the base name of the certificate authority's files.
const AuthorityName = "ca"

// KeyPair is a certificate with its private key.
type KeyPair struct {
	Certificate *x509.Certificate
	Key         crypto.Signer
}

// NewAuthority returns a new self-signed certificate authority that is valid for ten years from now.
func NewAuthority(now time.Time) (KeyPair, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "pimentowind authority"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(authorityLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	return sign(template, KeyPair{})
}

// Issue returns a new key pair for the named instance, signed by this authority and
// valid for one year from now.
func (keyPair KeyPair) Issue(name string, now time.Time) (KeyPair, error) {
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name},
		DNSNames:    []string{name},
		NotBefore:   now.Add(-clockSkew),
		NotAfter:    now.Add(instanceLifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	return sign(template, keyPair)
}

// sign generates a key and signs template with parent, or with the new key itself if parent is empty.
func sign(template *x509.Certificate, parent KeyPair) (KeyPair, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "generate serial number")
	}
	template.SerialNumber = serial
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "generate key")
	}
	if parent.Key == nil {
		parent = KeyPair{Certificate: template, Key: key}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent.Certificate, key.Public(), parent.Key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "sign certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "parse certificate")
	}
	return KeyPair{Certificate: certificate, Key: key}, nil
}

// Write writes the certificate and the key as PEM files name.crt and name.key in directory.
func (keyPair KeyPair) Write(directory, name string) error {
	key, err := x509.MarshalPKCS8PrivateKey(keyPair.Key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	certificatePEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: keyPair.Certificate.Raw})
	if err := os.WriteFile(filepath.Join(directory, name+".crt"), certificatePEM, 0o644); err != nil {
		return errors.Wrap(err, "write certificate")
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key})
	if err := os.WriteFile(filepath.Join(directory, name+".key"), keyPEM, 0o600); err != nil {
		return errors.Wrap(err, "write key")
	}
	return nil
}

// ReadKeyPair reads name.crt and name.key from directory.
func ReadKeyPair(directory, name string) (KeyPair, error) {
	path := filepath.Join(directory, name)
	loaded, err := tls.LoadX509KeyPair(path+".crt", path+".key")
	if err != nil {
		return KeyPair{}, errors.Wrapf(err, "read key pair %q", path)
	}
	key, ok := loaded.PrivateKey.(crypto.Signer)
	if !ok {
		return KeyPair{}, errors.Errorf("key %q is not a signing key", path+".key")
	}
	return KeyPair{Certificate: loaded.Leaf, Key: key}, nil
}

// LoadTLSConfig returns the mutual TLS configuration of an instance; the arguments
// are the paths of PEM files.
func LoadTLSConfig(authorityFile, certificateFile, keyFile string) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "read key pair")
	}
	authorityPEM, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return nil, errors.Errorf("no certificate in file %q", authorityFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
