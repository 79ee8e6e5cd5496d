"""How hosts find each other, and what they tell each other.

Each data centre has a few hubs: the first of its hosts by rank. A host reports
to the hubs of its data centre and gets a digest back; hubs tell each other
about their data centres. Nobody elects hubs: each host ranks those that it
hears, and whoever gets a report answers it.
"""
