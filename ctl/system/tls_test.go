package system

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/daemon/node"
	"github.com/pistachioarch/pistachioarch/daemon/settings"
)

// authority issues certificates for 127.0.0.1.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{}
	a.cert, a.key = issue(t, nil)
	return a
}

// issue returns a certificate signed by issuer; a self-signed authority if issuer is nil.
func issue(t *testing.T, issuer *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "pistachioarch"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, BasicConstraintsValid: true, IsCA: issuer == nil,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, signer := template, key
	if issuer != nil {
		parent, signer = issuer.cert, issuer.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return cert, key
}

// tlsConfig returns a mutual TLS configuration with a new certificate.
func (a *authority) tlsConfig(t *testing.T) *tls.Config {
	cert, key := issue(t, a)
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{cert.Raw}, PrivateKey: key}}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
}

// TestPeersRequireCertificateOfTheirAuthority starts two hosts with certificates of one authority
// and a third host with a certificate of another one. Only the first two may connect.
func TestPeersRequireCertificateOfTheirAuthority(t *testing.T) {
	x := newFixture(t)
	ourAuthority, otherAuthority := newAuthority(t), newAuthority(t)
	var nodes []*node.Node
	for i, cfg := range []*tls.Config{ourAuthority.tlsConfig(t), ourAuthority.tlsConfig(t), otherAuthority.tlsConfig(t)} {
		set, err := settings.Parse(fmt.Appendf(nil, "[host]\nname = t%d\ndata_centre = b\n[platform]\nurl = %s\n[operators]\ntoken_sha256 = %s\n", i, x.platform, deskDigest))
		require.NoError(t, err)
		var l [3]net.Listener
		for j := range l {
			l[j], err = net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
		}
		n, err := node.New(node.Options{Settings: set, Log: log.New(io.Discard), Dialer: &net.Dialer{}, Callers: l[0], Operators: l[1], Peers: l[2], PeerTLS: cfg})
		require.NoError(t, err)
		n.Start()
		t.Cleanup(n.Kill)
		nodes = append(nodes, n)
	}
	countHeardPeers := func(n *node.Node) (count int) {
		for _, p := range n.Dump().Peers {
			if p.Heard {
				count++
			}
		}
		return count
	}
	require.Eventually(t, func() bool { return countHeardPeers(nodes[0]) == 1 && countHeardPeers(nodes[1]) == 1 }, readyTimeout, 10*time.Millisecond)
	assert.Zero(t, countHeardPeers(nodes[2]))
}
