package shell

import "testing"

func TestFingerprintTellsRequestsApart(t *testing.T) {
	type request struct{ host, target, account, body string }
	base := request{"h", "/a/b", "acme", "body"}
	of := func(r request) uint64 { return fingerprint(r.host, r.target, r.account, []byte(r.body)) }
	if first, second := of(base), of(base); first != second {
		t.Error("two fingerprints of one request differ")
	}
	for _, other := range []request{
		{"h2", "/a/b", "acme", "body"}, {"h", "/a/c", "acme", "body"}, {"h", "/a/b", "other", "body"}, {"h", "/a/b", "acme", "bodY"},
		{"h", "/a/b", "", "acmebody"}, {"h", "/a/bacme", "", "body"}, {"h/a", "/b", "acme", "body"}, {"h", "/a/b", "acme", ""},
	} {
		if of(other) == of(base) {
			t.Errorf("%+v has the fingerprint of %+v", other, base)
		}
	}
}

func BenchmarkFingerprint(b *testing.B) {
	for name, size := range map[string]int{"1KB": 1 << 10, "1MB": 1 << 20} {
		body := make([]byte, size)
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				fingerprint("h", "/a/b", "acme", body)
			}
		})
	}
}
