"""Membership of the hosts and exchange of their state.

Each data centre has a few hubs: its highest-ranked live hosts. A host sends
reports to the hubs of its data centre and receives digests; hubs send summaries
of their data centres to each other. There is no hub election: each host ranks the
hosts that it knows to be live, and any host that receives a report answers it.
"""
