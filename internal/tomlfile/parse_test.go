package tomlfile

import "testing"

// Guards against a header [accounts], written by mistake for [[accounts]], that sets
// keys of the array's last entry: adding one client account would change the limits of
// another one. TOML forbids it. In [accounts.part], accounts does stand for the last
// entry.
func TestHeaderInSingleBracketsExtendsNoEntry(t *testing.T) {
	type file struct {
		Accounts []struct {
			Name  string  `toml:"name"`
			Share float64 `toml:"share"`
			Part  struct {
				Burst int `toml:"burst"`
			} `toml:"part"`
		} `toml:"accounts"`
	}
	var f file
	source := Decode("f.toml", []byte("[[accounts]]\nname = \"a\"\n[accounts]\nshare = 2.5\n"), &f)
	found := source.Findings()
	if len(found) != 1 || found[0].Key != "accounts" || found[0].Line != 3 {
		t.Errorf("findings %v, want one of accounts on line 3", found)
	}
	if f.Accounts[0].Share != 0 {
		t.Errorf("the entry before has share %v, want none", f.Accounts[0].Share)
	}
	source = Decode("f.toml", []byte("[[accounts]]\n[accounts.part]\nburst = 7\n"), &f)
	if found := source.Findings(); len(found) > 0 || f.Accounts[0].Part.Burst != 7 {
		t.Errorf("findings %v and burst %d, want none and 7", found, f.Accounts[0].Part.Burst)
	}
}
