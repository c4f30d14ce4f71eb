package ctl

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"quinceroad/protocol/api"
)

const padding = 2 // spaces between a table's columns

func (c *client) table() *tabwriter.Writer { return tabwriter.NewWriter(c.out, 0, 0, padding, ' ', 0) }

func (c *client) printPlan(p *api.Plan, diffOnly bool) {
	if p.State == "unchanged" {
		fmt.Fprintf(c.out, "unchanged: revision %d is this declaration\n", p.Base)
		return
	}
	for _, ch := range p.Changes {
		fmt.Fprintln(c.out, ch)
	}
	for _, w := range p.Warnings {
		fmt.Fprintln(c.out, "warning:", w)
	}
	if diffOnly {
		return
	}
	t := c.table()
	fmt.Fprintln(t, "\nPIPELINE\tSTAGE\tSERVICE\tHALLS\tSLOTS\tPER SECOND\tBUDGET\tCOST")
	for _, s := range p.Stages {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%.0f\t%d ms\t%.4f\n", s.Pipeline, s.Stage, s.Service, strings.Join(s.Halls, ","), s.Slots, s.CapacityPerSecond, s.BudgetMS, s.CostPerRequest)
	}
	fmt.Fprintln(t, "\nSERVICE\tLOAD\tTARGET\tREPLICAS WANTED\tTHERE\tCOST/S")
	for _, n := range p.Needs {
		fmt.Fprintf(t, "%s\t%.1f slots\t%.0f%%\t%d\t%d\t%.2f\n", n.Service, n.SlotsInUse, 100*n.TargetUtilization, n.RequiredReplicas, n.LiveReplicas, n.CostPerSecond)
	}
	fmt.Fprintln(t, "\nPIPELINE\tEXPECTED ATTAINMENT\tCOST")
	for _, o := range p.Forecasts {
		fmt.Fprintf(t, "%s\t%.3f\t%.4f\n", o.Pipeline, o.Attainment, o.CostPerRequest)
	}
	_ = t.Flush()
	fmt.Fprintf(c.out, "\nplan %s on revision %d, made with %d instances and %d replicas; nothing has changed yet\nnext: quincectl confirm %s\n", p.ID, p.Base, p.Inputs.Instances, p.Inputs.Replicas, p.ID)
}

func (c *client) printConfirmed(d *api.Confirmation) {
	switch d.State {
	case "conflict":
		fmt.Fprintf(c.out, "conflict: revision %d came into force meanwhile; plan again\n", d.Revision)
	case "undetermined":
		fmt.Fprintf(c.out, "undetermined: the platform did not report the outcome; run again: quincectl confirm %s\n", d.Plan)
	default:
		fmt.Fprintf(c.out, "confirmed: revision %d\n", d.Revision)
	}
}

func (c *client) printStatus(s *api.Status) {
	fmt.Fprintf(c.out, "as seen by %s: revision %d, plan %s\n\n", s.Instance, s.Revision, s.Plan)
	t := c.table()
	fmt.Fprintln(t, "INSTANCE\tHALL\tSTATE\tLEAVING\tREVISION\tINCARNATION\tENTRY")
	for _, i := range s.Instances {
		fmt.Fprintf(t, "%s\t%s\t%s\t%t\t%d\t%s\t%s\n", i.Name, i.Hall, i.State, i.Leaving, i.Revision, i.Incarnation, i.Entry)
	}
	_ = t.Flush()
	leaving := 0
	for _, r := range s.Replicas {
		if r.Leaving {
			leaving++
		}
	}
	fmt.Fprintf(c.out, "\n%d replicas, %d leaving\n", len(s.Replicas), leaving)
}
