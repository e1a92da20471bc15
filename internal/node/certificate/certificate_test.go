package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func writePair(t *testing.T, folder string, serial int64, modified time.Time) {
	t.Helper()
	g := gomega.NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	private, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for name, block := range map[string]*pem.Block{
		"cert.pem": {Type: "CERTIFICATE", Bytes: certificate},
		"key.pem":  {Type: "EC PRIVATE KEY", Bytes: private},
	} {
		path := filepath.Join(folder, name)
		g.Expect(os.WriteFile(path, pem.EncodeToMemory(block), 0o600)).To(gomega.Succeed())
		g.Expect(os.Chtimes(path, modified, modified)).To(gomega.Succeed())
	}
}

func TestReloaderServesReplacedPairAndKeepsItWhenInvalid(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	start := time.Unix(1_700_000_000, 0)
	writePair(t, folder, 1, start)
	reloader, err := NewReloader(filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	now := start
	reloader.now = func() time.Time { now = now.Add(2 * checkInterval); return now }
	serial := func() int64 {
		pair, err := reloader.Config().GetCertificate(nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return pair.Leaf.SerialNumber.Int64()
	}
	g.Expect(serial()).To(gomega.BeEquivalentTo(1))
	writePair(t, folder, 2, start.Add(time.Minute))
	g.Expect(serial()).To(gomega.BeEquivalentTo(2))
	broken := filepath.Join(folder, "cert.pem")
	g.Expect(os.WriteFile(broken, []byte("broken"), 0o600)).To(gomega.Succeed())
	g.Expect(os.Chtimes(broken, start, start.Add(time.Hour))).To(gomega.Succeed())
	g.Expect(serial()).To(gomega.BeEquivalentTo(2))
	_, err = NewReloader(broken, broken)
	g.Expect(err).To(gomega.HaveOccurred())
}
