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

// Lifetimes of what is issued.
const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	instanceLifetime  = 365 * 24 * time.Hour
	clockSkew         = time.Hour
)

// AuthorityName is the file stem of the certificate authority.
const AuthorityName = "ca"

// KeyPair is a certificate and its private key.
type KeyPair struct {
	Certificate *x509.Certificate
	Key         crypto.Signer
}

// NewAuthority makes a certificate authority that is valid from now.
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

// Issue makes the key pair of the instance called name, signed by this authority.
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

// sign makes a key and signs template with parent, or with the new key itself when parent is empty.
func sign(template *x509.Certificate, parent KeyPair) (KeyPair, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "serial number")
	}
	template.SerialNumber = serial
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "key")
	}
	if parent.Key == nil {
		parent = KeyPair{Certificate: template, Key: key}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent.Certificate, key.Public(), parent.Key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "certificate")
	}
	return KeyPair{Certificate: certificate, Key: key}, nil
}

// Write stores the pair as NAME.crt and NAME.key in directory.
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

// ReadKeyPair loads NAME.crt and NAME.key from directory.
func ReadKeyPair(directory, name string) (KeyPair, error) {
	stem := filepath.Join(directory, name)
	loaded, err := tls.LoadX509KeyPair(stem+".crt", stem+".key")
	if err != nil {
		return KeyPair{}, errors.Wrapf(err, "read key pair %q", stem)
	}
	signer, ok := loaded.PrivateKey.(crypto.Signer)
	if !ok {
		return KeyPair{}, errors.Errorf("key %q cannot sign", stem+".key")
	}
	return KeyPair{Certificate: loaded.Leaf, Key: signer}, nil
}

// LoadTLSConfig returns the mutual TLS settings of an instance, from the files in its settings.
func LoadTLSConfig(authorityFile, certificateFile, keyFile string) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "read key pair")
	}
	authority, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.Errorf("file %q holds no certificate", authorityFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
