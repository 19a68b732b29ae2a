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

func issue(t *testing.T, by *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "pistachioarch"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, BasicConstraintsValid: true, IsCA: by == nil,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, signer := template, key
	if by != nil {
		parent, signer = by.cert, by.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return cert, key
}

func (a *authority) config(t *testing.T) *tls.Config {
	cert, key := issue(t, a)
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{cert.Raw}, PrivateKey: key}}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
}

// TestPeersNeedACertificate starts two hosts of one authority and a stranger of
// another: the two hear each other, the stranger nobody.
func TestPeersNeedACertificate(t *testing.T) {
	x := newFixture(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	var nodes []*node.Node
	for i, cfg := range []*tls.Config{ours.config(t), ours.config(t), theirs.config(t)} {
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
	heard := func(n *node.Node) (count int) {
		for _, p := range n.Dump().Peers {
			if p.Heard {
				count++
			}
		}
		return count
	}
	require.Eventually(t, func() bool { return heard(nodes[0]) == 1 && heard(nodes[1]) == 1 }, settled, 10*time.Millisecond)
	assert.Zero(t, heard(nodes[2]))
}
