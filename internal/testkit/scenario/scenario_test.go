package scenario

import "testing"

// TestScript checks which scenarios are accepted, and the error and position for each that is not.
func TestScript(t *testing.T) {
	for in, want := range map[string]string{
		`(rehearsal "x")`: "",
		`(rehearsal "x" (groups 2 3) (at 1s (die replica 1) (for 2s)) (at 2s (crowd everyone 0.5)) (at 1s (load 2) (for 3s)))`: "",
		``:                                  `s:1:1: expected one (rehearsal "NAME" ...)`,
		`(rehearsal x)`:                     `s:1:1: expected the rehearsal's name in double quotes first`,
		`(rehearsal "x" (at 1s (dye)))`:     `s:1:23: there is no fault "dye"; there are: [agent between crowd cut deaf deregister-all die disk drain fail-check hang kill-pooler lag limit links list-gone list-held list-late list-silent load lose mute pay power reissue restart restart-pooler route routes stall-pooler thin wrong-roles]`,
		`(rehearsal "x" (at 1s (die)))`:     `s:1:23: expected a target: (die primary GROUP), replica GROUP, member GROUP N, primaries, half-primaries or everyone`,
		`(rehearsal "x" (at 1s (die all)))`: `s:1:28: unknown target "all"; expected primary GROUP, replica GROUP, member GROUP N, primaries, half-primaries, everyone`,
		`(rehearsal "x" (at 1s (lag replica 0)))`:                                             `s:1:23: (lag replica ...) takes 2 numbers, got 1`,
		`(rehearsal "x" (groups 1) (at 1s (die replica 0)))`:                                  `s:1:27: group 0 has 1 members`,
		`(rehearsal "x" (at 60s (die primary 0)))`:                                            `s:1:16: the fault starts after the end of the rehearsal`,
		`(rehearsal "x" (at 1s (kill-pooler 1)))`:                                             `s:1:16: there is no pooler 1; they are numbered from 0 to 0`,
		`(rehearsal "x" (class "y" (aim 1s)))`:                                                `s:1:23: there is no class "y"`,
		`(rehearsal "x" (detect 2s 1s))`:                                                      `s:1:16: the minimum is greater than the maximum`,
		`(rehearsal "x" (at 1s (between 0 1 cut)))`:                                           `s:1:16: (between ...) goes with (peers)`,
		`(rehearsal "x" (peers) (at 1s (links 0 9 cut)))`:                                     `s:1:40: 9 is out of range; it may be from 0 to 0`,
		`(rehearsal "x" (peers) (at 1s (links 0 all)))`:                                       `s:1:31: expected (links WHOM WHOM WHAT...), where WHOM is all, a pooler's number, (NUMBER...), (part FROM TO) or a site, and WHAT is cut, (lose X), (duplicate X), (reorder X) or (slow TIME)`,
		`(rehearsal "x" (peers) (agreed (voters 3)))`:                                         `s:1:1: (voters 3) exceeds the number of poolers, 1`,
		`(rehearsal "x" (peers) (agreed (voters 4)))`:                                         `s:1:24: (agreed ...) takes (voters 3) or (voters 5)`,
		`(rehearsal "x" (credit (price "quadro-obra")))`:                                      `s:1:1: (credit ...) goes with (agreed ...)`,
		`(rehearsal "x" (credit (files "f")))`:                                                `s:1:24: a scenario takes no (files ...): the rehearsal chooses the folder of marks`,
		`(rehearsal "x" (at 1s (pay "a" 1 5)))`:                                               `s:1:16: (pay ...) goes with (credit ...)`,
		`(rehearsal "x" (at 1s (pay "a" 1)))`:                                                 `s:1:23: expected (pay TENANT NUMBER AMOUNT POOLER ...)`,
		`(rehearsal "x" (pages (rows 9)))`:                                                    `s:1:16: (pages ...) needs (class NAME), of session reads`,
		`(rehearsal "x" (pages (class "quadro-obra")))`:                                       `s:1:16: (pages ...) takes a class of session reads; got "quadro-obra"`,
		`(rehearsal "x" (pages (class "conferir-ponto") (tenant "t")))`:                       `s:1:16: there is no tenant "t"`,
		`(rehearsal "x" (poolers 3) (peers) (agreed (voters 3)) (credit (price "y")))`:        `s:1:56: there is no class "y" to set a price for`,
		`(rehearsal "x" (peers) (at 1s (between (part 0.5 0.6) all cut)))`:                    `s:1:40: no pooler is selected`,
		`(rehearsal "x" (poolers 8) (peers) (at 1s (between (part 0 0.4) (part 0.4 1) cut)))`: ``,
		`(rehearsal "x" (sites "a"))`:                                                         `s:1:16: (sites NAME NAME ...) takes from 2 to 27 names`,
		`(rehearsal "x" (tenant "a"))`:                                                        `s:1:16: expected a tenant's (share PART)`,
		`(rehearsal "x" (class "quadro-obra" (keyed 1s)))`:                                    `s:1:37: only writes have keys; "quadro-obra" is a class of reads`,
		`(rehearsal "x" (groups 300))`:                                                        `s:1:24: 300 is out of range; it may be from 1 to 20`,
		`(rehearsal "x" (at 1s (list-late 1s) (until 3s)))`:                                   `s:1:38: expected (for TIME)`,
		`(rehearsal "x" (sites "a" "b") (poolers 4) (at 1s (cut b member 0 1)) (at 1s (thin (1 3) everyone 0.4)) (at 2s (list-held all) (for 1s)))`: "",
		`(rehearsal "x" (at 1s (cut 0)))`:                  `s:1:23: expected (cut WHOM primary GROUP), or another target; WHOM is all, a pooler's number, (NUMBER...) or a site`,
		`(rehearsal "x" (at 1s (cut c primary 0)))`:        `s:1:28: expected a number`,
		`(rehearsal "x" (at 1s (cut 3 primary 0)))`:        `s:1:28: 3 is out of range; it may be from 0 to 0`,
		`(rehearsal "x" (at 1s (thin 0 primary 0 2)))`:     `s:1:41: 2 is out of range; it may be from 0 to 1`,
		`(rehearsal "x" (at 1s (list-held)))`:              `s:1:23: expected (list-held WHOM), where WHOM is all, a pooler's number, (NUMBER...) or a site`,
		`(rehearsal "x" (consul 1) (at 1s (list-held 0)))`: `s:1:27: (list-held ...) goes with the platform's list and protocol: without (consul ...) and (clickhouse)`,
	} {
		_, err := Parse("s", []byte(in))
		got := ""
		if err != nil {
			got = err.Error()
		}
		if got != want {
			t.Errorf("parsing %s: error is %q, want %q", in, got, want)
		}
	}
}
