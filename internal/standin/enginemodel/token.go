package enginemodel

// TokenBytes is the length in bytes of each output token's text.
const TokenBytes = 6

// splitmixIncrement is the increment of splitmix64.
const splitmixIncrement = 0x9e3779b97f4a7c15

const tokenAlphabet = "abcdefghijklmnopqrstuvwxyz234567"

// AppendTokens appends the text of n output tokens from token number from on.
// The text depends only on the digest of the request and on the number of the
// token, so that an audit detects gaps, repeats and joins of different answers.
func AppendTokens(dst []byte, digest uint64, from, n int64) []byte {
	for i := from; i < from+n; i++ {
		dst = appendToken(dst, mix(digest+uint64(i)*splitmixIncrement))
	}
	return dst
}

func appendToken(dst []byte, h uint64) []byte {
	dst = append(dst, ' ')
	for range TokenBytes - 1 {
		dst = append(dst, tokenAlphabet[h&31])
		h >>= 5
	}
	return dst
}

// OutputLength returns a number of output tokens between low and high that
// depends only on the digest of the request.
func OutputLength(digest uint64, low, high int64) int64 {
	if high <= low {
		return low
	}
	return low + int64(mix(digest)%uint64(high-low+1))
}

// mix is the finaliser of splitmix64.
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
