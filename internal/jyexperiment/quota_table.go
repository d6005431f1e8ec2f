package jyexperiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteQuotaTable runs the cases of a fleet with each policy and writes a table: the largest number of requests of an account in 5 s
// beyond the bound (below 0 if it holds), the share of the requests within the quotas that were refused, and what the accounts with a
// surge did not get of their quotas.
func WriteQuotaTable(w io.Writer, instances int, seed uint64) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "Case\tPolicy\tExcess\tWronglyRefused\tShortfall")
	for _, c := range QuotaCases(instances) {
		for _, policy := range []QuotaPolicy{QuotaMirrored, QuotaEqual, QuotaOwner, QuotaAlone} {
			r := RunQuotas(c, policy, seed)
			fmt.Fprintf(t, "%s\t%s\t%.0f\t%.2f%%\t%.2f%%\n", c.Name, policy, r.Excess, 100*r.WrongShare(), 100*r.Shortfall)
		}
	}
	return t.Flush()
}
